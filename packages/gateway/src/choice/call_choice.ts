/**
 * Chooses the replica of a plain service for one call.
 *
 * The cost of a replica is its typical time, stretched by the calls that would
 * wait for a slot, plus what a failure would cost at its recent failure rate.
 */

import type { ReplicaState } from "./replica_state.ts";

/** Typical time of a call at a replica that has not answered yet. */
const defaultServiceMs = 30;
const failureCostMs = 600;
const otherZoneCostMs = 2;

/** What the choice knows of the call. */
export interface CallRequest {
  readonly zone: string;
  readonly now: number;
  readonly excluded: ReadonlySet<string>;
  /** Uniform in [0, 1); decides between equal replicas. */
  readonly draw: number;
}

/** A chosen replica and the predicted time of its answer. */
export interface CallChoice {
  readonly state: ReplicaState;
  readonly predictedMs: number;
}

/** Chooses the replica with the lowest cost; `undefined` when there is none. */
export function chooseCallReplica(
  states: readonly ReplicaState[],
  request: CallRequest,
): CallChoice | undefined {
  let best: CallChoice | undefined;
  let bestCost = Infinity;
  const offset = Math.floor(request.draw * states.length);
  for (let at = 0; at < states.length; at += 1) {
    const state = states[(at + offset) % states.length];
    if (state === undefined || request.excluded.has(state.key)) continue;
    const predictedMs = computeAnswerMs(state);
    const cost = predictedMs + computePenaltyMs(state, request);
    if (cost >= bestCost) continue;
    bestCost = cost;
    best = { state, predictedMs };
  }
  return best;
}

function computeAnswerMs(state: ReplicaState): number {
  const serviceMs = state.serviceMs ?? defaultServiceMs;
  const { slots } = state.replica;
  const { active } = state.totalLoad;
  const waiting = Math.max(0, active + 1 - slots);
  // A replica that is nearly full answers somewhat slower than an idle one.
  const crowding = 1 + 0.3 * Math.min(1, active / slots);
  return serviceMs * crowding + waiting * serviceMs / slots;
}

function computePenaltyMs(
  state: ReplicaState,
  { zone, now }: CallRequest,
): number {
  const failureMs = state.failures.read(now) * failureCostMs;
  return failureMs + (state.replica.zone === zone ? 0 : otherZoneCostMs);
}
