/**
 * What a gateway node believes, for operators.
 *
 * Ages are in milliseconds; null means never.
 */

import { z } from "zod";

const replicaStatus = z.object({
  id: z.string(),
  service: z.string(),
  zone: z.string(),
  state: z.enum(["ready", "draining", "gone"]),
  isReclaimable: z.boolean(),
  /** Requests of all nodes, as this node knows. */
  active: z.number(),
  pendingTokens: z.number(),
  /** Observed time to the first event relative to the predicted one. */
  slowness: z.number(),
  failureRate: z.number(),
});

const peerStatus = z.object({
  node: z.string(),
  ip: z.string(),
  heardAgoMs: z.number(),
  isDraining: z.boolean(),
  isStoreUnreachable: z.boolean(),
  isDutyHolder: z.boolean(),
});

const allowanceStatus = z.object({
  tenant: z.string(),
  /** Tokens or requests left; below 0 when more was admitted. */
  left: z.number(),
});

/** Schema of a status as it is sent. */
export const gatewayStatusSchema = z.object({
  node: z.string(),
  zone: z.string(),
  isReady: z.boolean(),
  isDraining: z.boolean(),
  requestsRunning: z.number(),
  configurationVersion: z.number().nullable(),
  configurationAgeMs: z.number().nullable(),
  replicasAgeMs: z.number().nullable(),
  isDutyHolder: z.boolean(),
  replicas: z.array(replicaStatus),
  peers: z.array(peerStatus),
  allowances: z.array(allowanceStatus),
});

/** Status of one node. */
export type GatewayStatus = z.infer<typeof gatewayStatusSchema>;
export type ReplicaStatus = z.infer<typeof replicaStatus>;
