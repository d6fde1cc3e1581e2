/**
 * Chooses the replica of a model service for one stream.
 *
 * The cost of a replica is mainly the predicted time to the first event: prefill
 * of the prompts queued there and of the request's own uncached tokens, plus the
 * wait for a slot or for KV cache memory when the replica is full. The replica
 * that rendezvous hashing ranks first for the prompt's shared prefix is assumed to
 * have that prefix cached. It wins unless it is busier than the others, so prompts
 * with one prefix stay together and a popular prefix cannot overload a replica.
 */

import type { EngineTraits } from "@almondcrank/model/configuration.ts";
import type { PromptPart } from "@almondcrank/platform/headers.ts";
import {
  computeRendezvousOrder,
  type Hasher,
} from "@almondcrank/common/hashing.ts";
import type { PrefixIndex } from "./prefix_index.ts";
import type { ReplicaState } from "./replica_state.ts";

/** Prompt tokens that a replica of normal speed prefills in a millisecond. */
export const prefillTokensPerMs = 50;
/** Time to the first event of an idle replica, without prefill. */
const baseFirstEventMs = 25;
/** Delay that each running request adds to the prefill of another one. */
const msPerActiveRequest = 1;
/** Assumed duration of one stream, for the wait when all slots are taken. */
const typicalStreamMs = 2_000;
/** Cost of a request that fails and has to be sent again. */
const failureCostMs = 1_500;
/** Cost of a replica in another zone. */
const otherZoneCostMs = 4;
/**
 * Share of the shared prefix that the first replica in rendezvous order is
 * assumed to have cached.
 */
const rendezvousCachedShare = 0.9;
/**
 * Cost of prefilling 1,000 uncached tokens beyond the time that it takes: it
 * delays the prefill of other prompts on the replica.
 */
const prefillCostMsPerThousand = 60;

/** Largest pool of which every replica is a candidate. */
const smallPoolSize = 24;
/** Number of candidates from a larger pool. */
const largePoolCandidates = 6;

/** Properties of the request that the choice depends on. */
export interface EngineRequest {
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly zone: string;
  readonly traits: EngineTraits;
  /** Monotonic time in milliseconds. */
  readonly now: number;
  /** Keys of incarnations that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
}

/** Dependencies of the choice. */
export interface EngineChoiceServices {
  readonly hasher: Hasher;
  readonly prefixes: PrefixIndex;
}

/** A chosen replica and the predictions for it. */
export interface EngineChoice {
  readonly state: ReplicaState;
  /** Predicted time to the first event. */
  readonly predictedMs: number;
  /** Prompt tokens that the replica has to prefill. */
  readonly uncachedTokens: number;
}

/** Chooses the replica with the lowest cost; `undefined` if there is none left. */
export function chooseEngine(
  states: readonly ReplicaState[],
  request: EngineRequest,
  services: EngineChoiceServices,
): EngineChoice | undefined {
  const { excluded, now } = request;
  const usable = states.filter((state) =>
    !excluded.has(state.key) && state.takesRequests(now)
  );
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
    const prefillCostMs = uncachedTokens / 1_000 * prefillCostMsPerThousand;
    const cost = predictedMs + prefillCostMs + computePenaltyMs(state, request);
    if (cost >= bestCost) continue;
    bestCost = cost;
    best = { state, predictedMs, uncachedTokens };
  }
  return best;
}

interface Candidates {
  readonly candidates: readonly ReplicaState[];
  /** Key of the first replica in rendezvous order of the shared prefix. */
  readonly preferred: string | undefined;
}

/**
 * Lists the replicas to compare: all of a small pool, and the first few in
 * rendezvous order of a large one. This bounds the work per request and keeps the
 * nodes from all choosing the replica that the last reports showed as idle.
 */
function listCandidates(
  usable: readonly ReplicaState[],
  { parts }: EngineRequest,
  { hasher }: EngineChoiceServices,
): Candidates {
  // The last part is unique to the request; the one before ends its shared prefix.
  const sharedPart = parts.at(-2) ?? parts.at(-1);
  if (sharedPart === undefined) {
    return { candidates: usable, preferred: undefined };
  }
  const keys = usable.map((state) => state.key);
  const order = computeRendezvousOrder(hasher, sharedPart.id, keys);
  const [preferred] = order;
  if (usable.length <= smallPoolSize) return { candidates: usable, preferred };
  const candidateKeys = new Set(order.slice(0, largePoolCandidates));
  const candidates = usable.filter((state) => candidateKeys.has(state.key));
  return { candidates, preferred };
}

function computeUncachedTokens(
  state: ReplicaState,
  { parts, promptTokens }: EngineRequest,
  prefixes: PrefixIndex,
  isPreferred: boolean,
): number {
  const cached = prefixes.computeCachedTokens(parts, state.key);
  if (!isPreferred) return Math.max(0, promptTokens - cached);
  const sharedTokens = parts.slice(0, -1)
    .reduce((sum, part) => sum + part.tokens, 0);
  const expectedCached = Math.max(cached, sharedTokens * rendezvousCachedShare);
  return Math.max(0, promptTokens - expectedCached);
}

function computeFirstEventMs(
  state: ReplicaState,
  { traits, promptTokens, now }: EngineRequest,
  uncachedTokens: number,
): number {
  const { active, pendingTokens, activeTokens } = state.totalLoad;
  const prefillMs = (uncachedTokens + pendingTokens) / prefillTokensPerMs;
  const missingSlots = Math.max(0, active + 1 - traits.slots);
  const missingCacheTokens = Math.max(
    0,
    activeTokens + promptTokens - traits.cacheTokens * 0.9,
  );
  const slotWaitMs = missingSlots * typicalStreamMs / traits.slots;
  const cacheWaitMs = missingCacheTokens / traits.cacheTokens * typicalStreamMs;
  const unqueuedMs = baseFirstEventMs + prefillMs + active * msPerActiveRequest;
  return unqueuedMs * state.readSlowness(now) + slotWaitMs + cacheWaitMs;
}

function computePenaltyMs(
  state: ReplicaState,
  { zone, now }: EngineRequest,
): number {
  const failureMs = state.failures.read(now) * failureCostMs;
  return failureMs + (state.replica.zone === zone ? 0 : otherZoneCostMs);
}
