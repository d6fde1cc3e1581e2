/**
 * Chooses the replica of a plain service for one call.
 *
 * The cost of a replica is its average answer time, plus the wait for a slot, plus
 * the expected cost of a failure at its recent failure rate.
 */

import type { ReplicaState } from "./replica_state.ts";

/** Assumed answer time while no replica of the service has answered yet. */
const defaultServiceMs = 30;
/** Cost of a call that fails and has to be sent again. */
const failureCostMs = 600;
/** Cost of a replica in another zone. */
const otherZoneCostMs = 2;

/** Properties of the call that the choice depends on. */
export interface CallRequest {
  readonly zone: string;
  /** Monotonic time in milliseconds. */
  readonly now: number;
  /** Keys of incarnations that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
  /** Random number in [0, 1); breaks ties between replicas of equal cost. */
  readonly draw: number;
}

/** A chosen replica and its predicted answer time. */
export interface CallChoice {
  readonly state: ReplicaState;
  readonly predictedMs: number;
}

/** Chooses the replica with the lowest cost; `undefined` if there is none left. */
export function chooseCallReplica(
  states: readonly ReplicaState[],
  request: CallRequest,
): CallChoice | undefined {
  let best: CallChoice | undefined;
  let bestCost = Infinity;
  const leastMs = computeLeastServiceMs(states);
  const offset = Math.floor(request.draw * states.length);
  for (let index = 0; index < states.length; index += 1) {
    const state = states[(index + offset) % states.length];
    if (state === undefined || request.excluded.has(state.key)) continue;
    if (!state.takesRequests(request.now)) continue;
    const predictedMs = computeAnswerMs(state, leastMs, request.now);
    const cost = predictedMs + computePenaltyMs(state, request);
    if (cost >= bestCost) continue;
    bestCost = cost;
    best = { state, predictedMs };
  }
  return best;
}

/** Least average answer time; replicas that nothing is known of may match it. */
function computeLeastServiceMs(states: readonly ReplicaState[]): number {
  let leastMs = Infinity;
  for (const { observedServiceMs } of states) {
    leastMs = Math.min(leastMs, observedServiceMs ?? Infinity);
  }
  return Number.isFinite(leastMs) ? leastMs : defaultServiceMs;
}

function computeAnswerMs(
  state: ReplicaState,
  leastMs: number,
  now: number,
): number {
  const serviceMs = state.readServiceMs(now, leastMs);
  const { slots } = state.replica;
  const { active } = state.totalLoad;
  const waiting = Math.max(0, active + 1 - slots);
  // A replica that is nearly full answers somewhat slower than an idle one.
  const loadFactor = 1 + 0.3 * Math.min(1, active / slots);
  return serviceMs * loadFactor + waiting * serviceMs / slots;
}

function computePenaltyMs(
  state: ReplicaState,
  { zone, now }: CallRequest,
): number {
  const failureMs = state.failures.read(now) * failureCostMs;
  return failureMs + (state.replica.zone === zone ? 0 : otherZoneCostMs);
}
