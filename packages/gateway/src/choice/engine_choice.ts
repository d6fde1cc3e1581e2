/**
 * Chooses the replica of a model service for one stream.
 *
 * The cost of a replica is the predicted time to the first event, which is learnt, from the work that the replica has left
 * and its speed, the wait for a slot or for KV cache memory when it is full, and the
 * delay that the prompt causes to the streams there. The replica that rendezvous
 * hashing ranks first for the prompt's shared prefix is assumed to have that prefix
 * cached. It wins unless it is busier than the others, so prompts with one prefix
 * stay together and a popular prefix gets a second replica before the first is full.
 *
 * Among replicas that are equally good as far as this node can tell, chance decides,
 * so that nodes that decide at the same time do not all choose the same one.
 */

import type { EngineTraits } from "@almondcrank/model/configuration.ts";
import type { PromptPart } from "@almondcrank/platform/headers.ts";
import type { Hasher } from "@almondcrank/common/hashing.ts";
import {
  type CostedChoice,
  drawByCost,
} from "@almondcrank/routing/placement/draw_by_cost.ts";
import type { CostModel } from "@almondcrank/routing/placement/cost_model.ts";
import type { FirstEventWork } from "@almondcrank/routing/placement/first_event_model.ts";
import type { CandidateOrder } from "./candidate_order.ts";
import type { PrefixIndex } from "./prefix_index.ts";
import type { ReplicaState } from "./replica_state.ts";

/** Cost of a request that fails and has to be sent again. */
const failureCostMs = 1_500;
/** Cost of a replica in another zone. */
const otherZoneCostMs = 4;
/** Cost of a connection that has to be opened first. */
const newConnectionCostMs = 3;
/**
 * Share of the shared prefix that the first replica in rendezvous order is
 * assumed to have cached.
 */
const rendezvousCachedShare = 0.9;
/**
 * Cost of the time that a replica prefills, beyond that time itself: it delays the
 * prefill of other prompts and the events of the streams there.
 */
const prefillCostFactor = 3;
/** Share of the KV cache memory that requests can fill. */
const usableCacheShare = 0.9;
/** Share of its slots in use from which on a replica counts as crowded. */
const crowdedShare = 0.75;
/** Difference of predicted cost below which replicas count as equal. */
const uncertainMs = 2;
/** Spread of pending prompts that are only known as an average, by that average. */
const uncertainFactor = 1.5;

/** Largest pool of which every replica is a candidate. */
const smallPoolSize = 24;
/** Number of candidates from a larger pool. */
const largePoolCandidates = 8;

/** Properties of the request that the choice depends on. */
export interface EngineRequest {
  readonly service: string;
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly zone: string;
  readonly traits: EngineTraits;
  /** Monotonic time in milliseconds. */
  readonly now: number;
  /** Keys of incarnations that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
  /** Random number in [0, 1); decides between replicas that are equally good. */
  readonly draw: number;
}

/** Dependencies of the choice. */
export interface EngineChoiceServices {
  readonly hasher: Hasher;
  readonly prefixes: PrefixIndex;
  readonly costs: CostModel;
  readonly order: CandidateOrder;
  readonly sender: {
    readonly hasIdleConnection: (state: ReplicaState) => boolean;
  };
}

/** A chosen replica and the predictions for it. */
export interface EngineChoice {
  readonly state: ReplicaState;
  /** Predicted time to the first event. */
  readonly predictedMs: number;
  /** The same on a replica of usual speed that is not full. */
  readonly usualMs: number;
  /** Prompt tokens that the replica has to prefill. */
  readonly uncachedTokens: number;
  /** What is ahead of the first event there, this request included. */
  readonly work: FirstEventWork;
  /** Whether it is expected to wait for a slot or for memory. */
  readonly isQueued: boolean;
}

interface ScoredChoice extends EngineChoice, CostedChoice {}

/**
 * Chooses a replica by its cost, by chance among those whose difference can't be
 * told; `undefined` if there is none left.
 */
export function chooseEngine(
  states: readonly ReplicaState[],
  request: EngineRequest,
  services: EngineChoiceServices,
): EngineChoice | undefined {
  const { candidates, preferred } = listCandidates(states, request, services);
  const scored = candidates.map((state) =>
    scoreReplica(state, request, { services, isPreferred: state === preferred })
  );
  return drawByCost(scored, request.draw);
}

interface Candidates {
  readonly candidates: readonly ReplicaState[];
  /** First replica in rendezvous order of the shared prefix. */
  readonly preferred: ReplicaState | undefined;
}

/**
 * Lists the replicas to compare: all of a small pool, and the first few in
 * rendezvous order of a large one. This bounds the work per request and keeps the
 * nodes from all choosing the replica that the last reports showed as idle.
 */
function listCandidates(
  states: readonly ReplicaState[],
  { parts, excluded, now }: EngineRequest,
  { order }: EngineChoiceServices,
): Candidates {
  const isUsable = (state: ReplicaState): boolean =>
    !excluded.has(state.key) && state.takesRequests(now);
  // The last part is unique to the request; the one before ends its shared prefix.
  const sharedPart = parts.at(-2) ?? parts.at(-1);
  if (sharedPart === undefined) {
    return { candidates: states.filter(isUsable), preferred: undefined };
  }
  const isSmall = states.length <= smallPoolSize;
  const most = isSmall ? 1 : largePoolCandidates;
  const first = order.listFirst(states, sharedPart.id, { isUsable, most });
  const candidates = isSmall ? states.filter(isUsable) : first;
  return { candidates, preferred: first[0] };
}

interface ScoreOptions {
  readonly services: EngineChoiceServices;
  readonly isPreferred: boolean;
}

function scoreReplica(
  state: ReplicaState,
  request: EngineRequest,
  { services, isPreferred }: ScoreOptions,
): ScoredChoice {
  const { costs, prefixes, sender } = services;
  const { now, traits, promptTokens } = request;
  const uncachedTokens = computeUncachedTokens(
    state,
    request,
    prefixes,
    isPreferred,
  );
  const { softwareVersion } = state.replica;
  const key = { service: request.service, softwareVersion };
  const runMs = costs.outputs.predictRunMs(request.service);
  const load = state.work.estimate(now, runMs);
  const work = {
    tokens: uncachedTokens + load.pendingTokens,
    active: load.active,
  };
  const usualMs = costs.predictFirstEventMs(key, work, now);
  const queuedMs = computeQueuedMs(
    { active: load.active, cacheTokens: load.activeTokens + promptTokens },
    traits,
    runMs,
  );
  const predictedMs = usualMs * state.readSlowness(now) + queuedMs;
  const tokensPerMs = costs.firstEvents.computeTokensPerMs(key, now);
  const prefillMs = uncachedTokens / tokensPerMs;
  const crowdMs = computeCrowdMs(load.active, traits, runMs);
  const delayMs = prefillMs * prefillCostFactor + crowdMs;
  const connectMs = sender.hasIdleConnection(state) ? 0 : newConnectionCostMs;
  const penaltyMs = computePenaltyMs(state, request) + connectMs;
  return {
    state,
    predictedMs,
    usualMs,
    uncachedTokens,
    work,
    isQueued: queuedMs > 0,
    cost: predictedMs + delayMs + penaltyMs,
    uncertainty: uncertainMs +
      uncertainFactor * load.uncertainTokens / tokensPerMs,
  };
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

/**
 * Computes the wait that a request causes to those that come after it, by taking one
 * of the last slots.
 */
function computeCrowdMs(
  active: number,
  { slots }: EngineTraits,
  runMs: number,
): number {
  return Math.max(0, active + 1 - slots * crowdedShare) * runMs / slots;
}

/** Computes the wait for a slot and for memory on a replica that is full. */
function computeQueuedMs(
  { active, cacheTokens }: {
    readonly active: number;
    /** Tokens of the requests there and of this one. */
    readonly cacheTokens: number;
  },
  traits: EngineTraits,
  runMs: number,
): number {
  const missingSlots = Math.max(0, active + 1 - traits.slots);
  const missingTokens = Math.max(
    0,
    cacheTokens - traits.cacheTokens * usableCacheShare,
  );
  const slotWaitMs = missingSlots * runMs / traits.slots;
  const cacheWaitMs = missingTokens / traits.cacheTokens * runMs;
  return slotWaitMs + cacheWaitMs;
}

function computePenaltyMs(
  state: ReplicaState,
  { zone, now }: EngineRequest,
): number {
  const failureMs = state.failures.read(now) * failureCostMs;
  return failureMs + (state.replica.zone === zone ? 0 : otherZoneCostMs);
}
