/**
 * Chooses the replica of a model service for one stream.
 *
 * The cost of a replica is the predicted time to the first event: prompt tokens
 * that wait there, the request's own tokens that are not cached, and a wait for a
 * slot or for cache memory when it is full. A part's first replica in rendezvous
 * order is preferred while it is not busier than the others, which keeps the
 * prompts of one subject together and bounds the load of a hot one.
 */

import type { EngineTraits } from "@almondcrank/model/configuration.ts";
import type { PromptPart } from "@almondcrank/platform/headers.ts";
import {
  computeRendezvousOrder,
  type Hasher,
} from "@almondcrank/common/hashing.ts";
import type { PrefixIndex } from "./prefix_index.ts";
import type { ReplicaState } from "./replica_state.ts";

/** Prompt tokens that a sound replica reads in a millisecond. */
export const prefillTokensPerMs = 50;
/** Time to the first event beside reading the prompt. */
const baseFirstEventMs = 25;
/** Delay that each running request adds to the prompts read beside it. */
const msPerActive = 1;
/** Typical time of one stream, for the wait when all slots are taken. */
const typicalStreamMs = 2_000;
/** Cost of a request that has to be sent again. */
const failureCostMs = 1_500;
const otherZoneCostMs = 4;
/** Trust that the first replica in rendezvous order holds a shared part. */
const rendezvousTrust = 0.9;
/**
 * Cost of reading 1,000 tokens that another replica holds, beside the time it
 * takes: it keeps the replica from reading other prompts.
 */
const rereadMsPerThousand = 60;

/** Replicas up to which all are weighed. */
const smallPool = 24;
/** Replicas weighed of a larger pool. */
const weighedReplicas = 6;

/** What the choice knows of the request. */
export interface EngineRequest {
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly zone: string;
  readonly traits: EngineTraits;
  readonly now: number;
  /** Incarnations that must not be chosen again. */
  readonly excluded: ReadonlySet<string>;
}

/** What the choice needs beside the request. */
export interface EngineChoiceServices {
  readonly hasher: Hasher;
  readonly prefixes: PrefixIndex;
}

/** A chosen replica and what was predicted for it. */
export interface EngineChoice {
  readonly state: ReplicaState;
  /** Predicted time to the first event. */
  readonly predictedMs: number;
  /** Prompt tokens that the replica has to read. */
  readonly uncachedTokens: number;
}

/** Chooses the replica with the lowest cost; `undefined` when there is none. */
export function chooseEngine(
  states: readonly ReplicaState[],
  request: EngineRequest,
  services: EngineChoiceServices,
): EngineChoice | undefined {
  const usable = states.filter((state) => !request.excluded.has(state.key));
  const { candidates, preferred } = listCandidates(usable, request, services);
  let best: EngineChoice | undefined;
  let bestCost = Infinity;
  for (const state of candidates) {
    const uncachedTokens = computeUncachedTokens(
      state,
      request,
      services.prefixes,
      state.key === preferred,
    );
    const predictedMs = computeFirstEventMs(state, request, uncachedTokens);
    const rereadMs = uncachedTokens / 1_000 * rereadMsPerThousand;
    const cost = predictedMs + rereadMs + computePenaltyMs(state, request);
    if (cost >= bestCost) continue;
    bestCost = cost;
    best = { state, predictedMs, uncachedTokens };
  }
  return best;
}

interface Candidates {
  readonly candidates: readonly ReplicaState[];
  /** Replica that other nodes would send the request's subject to. */
  readonly preferred: string | undefined;
}

/**
 * Replicas to weigh: all of a small pool, of a large one the first few in the
 * subject's rendezvous order. Nodes then neither compute costs for hundreds of
 * replicas nor all run to the one that was idle in the last reports.
 */
function listCandidates(
  usable: readonly ReplicaState[],
  { parts }: EngineRequest,
  { hasher }: EngineChoiceServices,
): Candidates {
  // The last part belongs to the request alone; the one before is its subject.
  const subject = parts.at(-2) ?? parts.at(-1);
  if (subject === undefined) {
    return { candidates: usable, preferred: undefined };
  }
  const keys = usable.map((state) => state.key);
  const order = computeRendezvousOrder(hasher, subject.id, keys);
  const [preferred] = order;
  if (usable.length <= smallPool) return { candidates: usable, preferred };
  const weighed = new Set(order.slice(0, weighedReplicas));
  const candidates = usable.filter((state) => weighed.has(state.key));
  return { candidates, preferred };
}

function computeUncachedTokens(
  state: ReplicaState,
  { parts, promptTokens }: EngineRequest,
  prefixes: PrefixIndex,
  isPreferred: boolean,
): number {
  const held = prefixes.computeCachedTokens(parts, state.key);
  if (!isPreferred) return Math.max(0, promptTokens - held);
  const shared = parts.slice(0, -1)
    .reduce((sum, part) => sum + part.tokens, 0);
  const believed = Math.max(held, shared * rendezvousTrust);
  return Math.max(0, promptTokens - believed);
}

function computeFirstEventMs(
  state: ReplicaState,
  { traits, promptTokens }: EngineRequest,
  uncachedTokens: number,
): number {
  const { active, pendingTokens, activeTokens: heldTokens } = state.totalLoad;
  const readMs = (uncachedTokens + pendingTokens) / prefillTokensPerMs;
  const missingSlots = Math.max(0, active + 1 - traits.slots);
  const missingMemory = Math.max(
    0,
    heldTokens + promptTokens - traits.cacheTokens * 0.9,
  );
  const slotWaitMs = missingSlots * typicalStreamMs / traits.slots;
  const memoryWaitMs = missingMemory / traits.cacheTokens * typicalStreamMs;
  const workMs = baseFirstEventMs + readMs + active * msPerActive;
  return workMs * state.slowness + slotWaitMs + memoryWaitMs;
}

function computePenaltyMs(
  state: ReplicaState,
  { zone, now }: EngineRequest,
): number {
  const failureMs = state.failures.read(now) * failureCostMs;
  return failureMs + (state.replica.zone === zone ? 0 : otherZoneCostMs);
}
