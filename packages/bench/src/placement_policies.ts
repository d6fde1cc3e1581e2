/**
 * Policies that the placement comparison measures.
 */

import {
  chooseEngine,
  type EngineChoice,
  type EngineChoiceServices,
  type EngineRequest,
} from "@almondcrank/gateway/choice/engine_choice.ts";
import type { ReplicaState } from "@almondcrank/gateway/choice/replica_state.ts";
import { computeRendezvousOrder } from "@almondcrank/common/hashing.ts";
import { assumedTokensPerMs } from "@almondcrank/routing/placement/first_event_model.ts";

/** Time that a stream is assumed to run. */
const assumedRunMs = 2_000;
/** Time that a first event is assumed to take without prompt and load. */
const assumedBaseMs = 25;
/** Time that each running request is assumed to add to a first event. */
const assumedMsPerActive = 1;
/** Cost of the delay of others, in milliseconds per prompt token to compute. */
const assumedHarmMsPerToken = 0.06;
/** Share of a shared part that its first replica is assumed to have cached. */
const assumedCachedShare = 0.9;
/** Number of replicas up to which all are candidates. */
const smallPoolReplicas = 24;
/** Number of candidates in a larger pool. */
const largePoolCandidates = 6;

/** Policies by name. */
export type PlacementPolicy =
  | "constants"
  | "round_robin"
  | "least_stated"
  | "two_choices"
  | "learned"
  | "all_seeing";

export const placementPolicies: readonly PlacementPolicy[] = [
  "constants",
  "round_robin",
  "least_stated",
  "two_choices",
  "learned",
  "all_seeing",
];

/** What one node knows when it chooses. */
export interface PolicyInput {
  readonly states: readonly ReplicaState[];
  readonly request: EngineRequest;
  readonly services: EngineChoiceServices;
  /** Number of requests that the node has placed before. */
  readonly placed: number;
  /** Second random number in [0, 1). */
  readonly secondDraw: number;
  /** Requests that each replica stated last, by key. */
  readonly stated: ReadonlyMap<string, number>;
  /** True time of the first event, for the all-seeing plan. */
  readonly computeFirstAt: (state: ReplicaState) => number;
}

/** Chooses a replica. */
export function choosePlacement(
  policy: PlacementPolicy,
  input: PolicyInput,
): ReplicaState {
  const { states, request, services, placed, secondDraw, stated } = input;
  const at = (index: number): ReplicaState =>
    states[index % states.length] as ReplicaState;
  switch (policy) {
    case "round_robin":
      return at(placed + Math.floor(request.draw * 2));
    case "least_stated":
      return chooseLeast(
        rotate(states, request.draw),
        ({ key, ownLoad }) => (stated.get(key) ?? 0) + ownLoad.active,
      );
    case "two_choices": {
      const pair = [
        at(Math.floor(request.draw * states.length)),
        at(Math.floor(secondDraw * states.length)),
      ];
      return chooseLeast(pair, ({ work }) => {
        const { active, pendingTokens } = work.estimate(
          request.now,
          assumedRunMs,
        );
        return pendingTokens / assumedTokensPerMs + active * assumedMsPerActive;
      });
    }
    case "learned":
      return (chooseEngine(states, request, services) as EngineChoice).state;
    case "all_seeing":
      return chooseLeast(states, input.computeFirstAt);
    case "constants":
      return chooseByConstants(states, request, services);
  }
}

/** The choice before costs were learnt, which takes each cost as a constant. */
function chooseByConstants(
  states: readonly ReplicaState[],
  { parts, promptTokens, traits, now }: EngineRequest,
  { hasher, prefixes }: EngineChoiceServices,
): ReplicaState {
  const shared = parts[0];
  const order = computeRendezvousOrder(
    hasher,
    shared?.id ?? "",
    states.map(({ key }) => key),
  );
  const first = new Set(
    states.length <= smallPoolReplicas
      ? order
      : order.slice(0, largePoolCandidates),
  );
  const candidates = states.filter(({ key }) => first.has(key));
  return chooseLeast(candidates, (state) => {
    const cached = prefixes.computeCachedTokens(parts, state.key);
    const assumed = state.key === order[0]
      ? (shared?.tokens ?? 0) * assumedCachedShare
      : 0;
    const uncached = promptTokens - Math.max(cached, assumed);
    const { active, pendingTokens } = state.totalLoad;
    const slotMs = Math.max(0, active + 1 - traits.slots) * assumedRunMs /
      traits.slots;
    const firstMs = assumedBaseMs +
      (uncached + pendingTokens) / assumedTokensPerMs +
      active * assumedMsPerActive;
    return firstMs * state.readSlowness(now) + slotMs +
      uncached * assumedHarmMsPerToken;
  });
}

function rotate(
  states: readonly ReplicaState[],
  draw: number,
): readonly ReplicaState[] {
  const offset = Math.floor(draw * states.length);
  return [...states.slice(offset), ...states.slice(0, offset)];
}

function chooseLeast(
  states: readonly ReplicaState[],
  readCost: (state: ReplicaState) => number,
): ReplicaState {
  let best = states[0] as ReplicaState;
  let least = Infinity;
  for (const state of states) {
    const cost = readCost(state);
    if (cost >= least) continue;
    least = cost;
    best = state;
  }
  return best;
}
