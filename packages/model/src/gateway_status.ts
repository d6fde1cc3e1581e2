/**
 * Status of a gateway node, as it knows the system, for operators.
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
  /** Running requests of all nodes. */
  active: z.number(),
  /** Prompt tokens of requests without a first event, of all nodes. */
  pendingTokens: z.number(),
  /** Ratio of observed to predicted time to the first event. */
  slowness: z.number(),
  /** Recent failure rate, 0 to 1. */
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

const rolloutStatus = z.object({
  service: z.string(),
  /** Software version that the service moves to. */
  to: z.string(),
  state: z.enum(["in_progress", "completed", "reverted"]),
  /** Share of requests for the new version that this node gives it now. */
  share: z.number(),
  /** Age of the step in force. */
  stepAgeMs: z.number(),
  /** Why the version gets nothing more; null while it may. */
  stopReason: z.string().nullable(),
  /** Requests of all nodes since the order, and those to the new version. */
  sent: z.number(),
  sentToNew: z.number(),
  /** Answers of the new version to all nodes, and those that failed or were slow. */
  answersOfNew: z.number(),
  badAnswersOfNew: z.number(),
});

/** Schema of the status on the wire. */
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
  /** Last order of each service, where operators order rollouts. */
  rollouts: z.array(rolloutStatus).default([]),
});

/** Status of one node. */
export type GatewayStatus = z.infer<typeof gatewayStatusSchema>;
/** Status of an operators' order. */
export type RolloutStatus = z.infer<typeof rolloutStatus>;
/** Status of one replica. */
export type ReplicaStatus = z.infer<typeof replicaStatus>;
