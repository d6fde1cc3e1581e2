/**
 * Messages of membership and configuration between nodes.
 *
 * An exchange is a pull: the request says what the caller has, the response
 * holds what it lacks. Columns of equal length replace lists of objects, since
 * they compress to about half the size.
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

/** A process and whether it has announced that it leaves. */
const memberRecord = z.object({ identity, leaving: z.boolean() }).readonly();
/** A process and whether it has announced that it leaves. */
export type MemberRecord = z.infer<typeof memberRecord>;

const leavingEndpoint = z.object({
  endpoint: name,
  remainingMs: z.number(),
}).readonly();

/** Change of the cluster state, which every node holds. */
const change = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("member"), member: memberRecord }).readonly(),
  z.object({ kind: z.literal("leaving"), leaving: leavingEndpoint }).readonly(),
]);
/** Change of the cluster state. */
export type Change = z.infer<typeof change>;

/**
 * Loads of endpoints that a node publishes. `versions` holds the version of the
 * node's record at which each load last changed.
 */
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
  /** Empty if no endpoint states a limit; `noLimit` for one that does not. */
  requestsPerSecond: numbers.default([]),
}).readonly();
/** Loads of endpoints as columns. */
export type LoadColumns = z.infer<typeof loadColumns>;

const demandColumns = z.object({
  version: count,
  teams: z.array(name).readonly(),
  requestsPerSecond: numbers,
  tokensPerSecond: numbers,
}).readonly();
/** Demand of a node by team as columns. */
export type DemandColumns = z.infer<typeof demandColumns>;

/** Summary of a data centre by its first delegate. */
const zoneSummary = z.object({
  version: count,
  /** Names of members that are alive. */
  alive: z.array(name).readonly(),
  /** Lowest configuration revision in force at a member that is alive. */
  revision: count,
  services: z.array(name).readonly(),
  reachable: numbers,
  freeSlots: numbers,
  queuedTokens: numbers,
  teams: z.array(name).readonly(),
  requestsPerSecond: numbers,
  tokensPerSecond: numbers,
}).readonly();
/** Summary of a data centre. */
export type ZoneSummary = z.infer<typeof zoneSummary>;

/** Record of one process, with the parts that the caller lacks. */
const originRecord = z.object({
  node: name,
  incarnation: name,
  /** Grows by one with each heartbeat. */
  version: count,
  /** Time since the heartbeat of this version, in milliseconds. */
  ageMs: z.number(),
  revision: count,
  loads: loadColumns.optional(),
  demand: demandColumns.optional(),
  summary: zoneSummary.optional(),
}).readonly();
/** Record of one process. */
export type OriginRecord = z.infer<typeof originRecord>;

const ageMs = z.number().nullable();

/**
 * What a node tells of one part of prompts under which replicas crash. Ages are in
 * milliseconds; null if there was no such event.
 */
const toldPart = z.object({
  part: name,
  /** Age of the start of the last run that went well. */
  survivedAgeMs: ageMs,
  /** Age of the last request that came during the quarantine. */
  requestedAgeMs: ageMs,
  /** Incarnations that crashed since then, each with the age of its crash. */
  crashes: z.array(z.tuple([name, z.number()]).readonly()).readonly(),
}).readonly();
/** What a node tells of one part of prompts. */
export type ToldPart = z.infer<typeof toldPart>;

/** Parts that the sender tells of; older nodes neither send nor read them. */
const toldParts = z.array(toldPart).readonly().optional();

/** Schema of an exchange's request. */
export const exchangeRequest = z.object({
  node: name,
  incarnation: name,
  zone: name,
  /** Version of the caller's own record. */
  version: count,
  revision: count,
  /** Whether to send loads of all nodes, or of the caller's zone only. */
  scope: z.enum(["all", "zone"]),
  /** Sent until a response says that the answering node knows it. */
  self: memberRecord.optional(),
  /** Position up to which the caller has read the answering node's changes. */
  cursor: count,
  /** Checksum of the caller's cluster state. */
  checksum: count,
  /** Version of each node's record that the caller has, by `encodeSeen`. */
  seen: z.record(name, z.string().max(64)).readonly(),
  parts: toldParts,
}).readonly();
/** Request of an exchange. */
export type ExchangeRequest = z.infer<typeof exchangeRequest>;

/** Schema of an exchange's response. */
export const exchangeResponse = z.object({
  node: name,
  incarnation: name,
  version: count,
  revision: count,
  cursor: count,
  /** Whether the answering node knows the caller's process. */
  known: z.boolean(),
  changes: z.array(change).readonly(),
  origins: z.array(originRecord).readonly(),
  parts: toldParts,
}).readonly();
/** Response of an exchange. */
export type ExchangeResponse = z.infer<typeof exchangeResponse>;

/** Schema of an announcement: changes that cannot wait for an exchange. */
export const announcement = z.object({
  node: name,
  incarnation: name,
  /** Revision the sender has in force. */
  revision: count,
  leaving: z.array(leavingEndpoint).readonly(),
  members: z.array(memberRecord).readonly(),
  /** Changes that lead to the revision, if they are few. */
  deltas: z.array(configurationDelta).readonly().optional(),
  /** Whether the receiver relays it within its data centre. */
  relay: z.boolean(),
}).readonly();
/** Changes that cannot wait for the next exchange. */
export type Announcement = z.infer<typeof announcement>;

/** Schema of a request for the configuration changes after `since`. */
export const configurationRequest = z.object({ since: count }).readonly();
/** Request for the configuration changes after revision `since`. */
export type ConfigurationRequest = z.infer<typeof configurationRequest>;
