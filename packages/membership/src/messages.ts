/**
 * Messages of membership and configuration between nodes.
 *
 * An exchange is a pull: the caller says what it has, the answer holds what it
 * lacks. Columns of equal length stand in place of lists of objects, because
 * they compress to about half.
 */

import { z } from "zod";
import { configurationDelta } from "./configuration_messages.ts";

const name = z.string().max(256);
const count = z.number().int();
const numbers = z.array(z.number()).readonly();

const identity = z.object({
  node: name,
  incarnation: name,
  zone: name,
  region: name,
  peerAddress: name,
}).readonly();

/** A process and whether it announced that it leaves. */
const memberRecord = z.object({ identity, leaving: z.boolean() }).readonly();
export type MemberRecord = z.infer<typeof memberRecord>;

const leavingEndpoint = z.object({
  endpoint: name,
  remainingMs: z.number(),
}).readonly();

/** Change of a slowly changing fact, spread to every node. */
const change = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("member"), member: memberRecord }).readonly(),
  z.object({ kind: z.literal("leaving"), leaving: leavingEndpoint }).readonly(),
]);
export type Change = z.infer<typeof change>;

/** Loads of a node's endpoints; `versions` are the origin's at their change. */
const loadColumns = z.object({
  endpoints: z.array(name).readonly(),
  versions: numbers,
  agesMs: numbers,
  queued: numbers,
  running: numbers,
  slots: numbers,
  queuedTokens: numbers,
  prefillTokensPerSecond: numbers,
  betweenTokensMs: numbers,
  reachable: numbers,
}).readonly();
export type LoadColumns = z.infer<typeof loadColumns>;

const demandColumns = z.object({
  version: count,
  teams: z.array(name).readonly(),
  requestsPerSecond: numbers,
  tokensPerSecond: numbers,
}).readonly();
export type DemandColumns = z.infer<typeof demandColumns>;

/** State of a data centre as one of its delegates sees it. */
const zoneSummary = z.object({
  version: count,
  /** Names of members that are alive. */
  alive: z.array(name).readonly(),
  /** Lowest revision in force at a member that is alive. */
  revision: count,
  services: z.array(name).readonly(),
  reachable: numbers,
  freeSlots: numbers,
  queuedTokens: numbers,
  teams: z.array(name).readonly(),
  requestsPerSecond: numbers,
  tokensPerSecond: numbers,
}).readonly();
export type ZoneSummary = z.infer<typeof zoneSummary>;

/** Heartbeat of one process with the parts that the caller lacks. */
const originRecord = z.object({
  node: name,
  incarnation: name,
  /** Grows by one with each heartbeat. */
  version: count,
  /** Time since the sender learned this version, in milliseconds. */
  ageMs: z.number(),
  revision: count,
  loads: loadColumns.optional(),
  demand: demandColumns.optional(),
  summary: zoneSummary.optional(),
}).readonly();
export type OriginRecord = z.infer<typeof originRecord>;

export const exchangeRequest = z.object({
  node: name,
  incarnation: name,
  zone: name,
  /** The caller's own heartbeat. */
  version: count,
  revision: count,
  /** Whether loads of all nodes are wanted, or of the caller's zone only. */
  scope: z.enum(["all", "zone"]),
  /** Sent until the answer's node has it. */
  self: memberRecord.optional(),
  /** Position in the answerer's changes that the caller has read to. */
  cursor: count,
  /** Checksum over the caller's slowly changing facts. */
  checksum: count,
  /** What the caller has of each node, as `encodeSeen` writes it. */
  seen: z.record(name, z.string().max(64)).readonly(),
}).readonly();
export type ExchangeRequest = z.infer<typeof exchangeRequest>;

export const exchangeResponse = z.object({
  node: name,
  incarnation: name,
  version: count,
  revision: count,
  cursor: count,
  /** Whether the answerer knows the caller's process. */
  known: z.boolean(),
  changes: z.array(change).readonly(),
  origins: z.array(originRecord).readonly(),
}).readonly();
export type ExchangeResponse = z.infer<typeof exchangeResponse>;

/** News that cannot wait for the next exchange. */
export const announcement = z.object({
  node: name,
  incarnation: name,
  /** Revision the sender has in force. */
  revision: count,
  leaving: z.array(leavingEndpoint).readonly(),
  members: z.array(memberRecord).readonly(),
  /** Changes that lead to the revision, when they are few. */
  deltas: z.array(configurationDelta).readonly().optional(),
  /** Whether the receiver passes it on to its own data centre. */
  relay: z.boolean(),
}).readonly();
export type Announcement = z.infer<typeof announcement>;

export const configurationRequest = z.object({ since: count }).readonly();
export type ConfigurationRequest = z.infer<typeof configurationRequest>;
