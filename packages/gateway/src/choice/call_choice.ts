/**
 * Chooses the replica of a plain service for one call.
 *
 * The cost of a replica is its average answer time at its present slowness, plus the
 * wait for a slot by the work that it has left, plus the expected cost of a failure
 * at its recent failure rate. Among replicas that are equally good as far as this
 * node can tell, chance decides.
 */

import { drawByCost } from "@almondcrank/routing/placement/draw_by_cost.ts";
import type { ReplicaState } from "./replica_state.ts";

/** Assumed answer time while no replica of the service has answered yet. */
const defaultServiceMs = 30;
/** Cost of a call that fails and has to be sent again. */
const failureCostMs = 600;
/** Cost of a replica in another zone. */
const otherZoneCostMs = 2;
/** Cost of a connection that has to be opened first. */
const newConnectionCostMs = 1;
/** Difference of predicted cost below which replicas count as equal. */
const uncertainMs = 2;

/** Properties of the call that the choice depends on. */
export interface CallRequest {
  readonly zone: string;
  /** Monotonic time in milliseconds. */
  readonly now: number;
  /** Keys of incarnations that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
  /** Random number in [0, 1); decides between replicas that are equally good. */
  readonly draw: number;
  /** Whether a connection to the replica is open and not in use. */
  readonly hasIdleConnection: (state: ReplicaState) => boolean;
}

/** A chosen replica and its predicted answer time. */
export interface CallChoice {
  readonly state: ReplicaState;
  readonly predictedMs: number;
}

/**
 * Chooses a replica by its cost, by chance among those whose difference can't be
 * told; `undefined` if there is none left.
 */
export function chooseCallReplica(
  states: readonly ReplicaState[],
  request: CallRequest,
): CallChoice | undefined {
  const leastMs = computeLeastServiceMs(states);
  const scored = states
    .filter((state) =>
      !request.excluded.has(state.key) && state.takesRequests(request.now)
    )
    .map((state) => {
      const predictedMs = computeAnswerMs(state, leastMs, request.now);
      const cost = predictedMs + computePenaltyMs(state, request);
      return { state, predictedMs, cost, uncertainty: uncertainMs };
    });
  return drawByCost(scored, request.draw);
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
  const { active } = state.work.estimate(now, serviceMs);
  const waiting = Math.max(0, active + 1 - slots);
  // A replica that is nearly full answers somewhat slower than an idle one.
  const loadFactor = 1 + 0.3 * Math.min(1, active / slots);
  const momentMs = serviceMs * state.speed.readMoment(now);
  return momentMs * loadFactor + waiting * serviceMs / slots;
}

function computePenaltyMs(
  state: ReplicaState,
  { zone, now, hasIdleConnection }: CallRequest,
): number {
  const failureMs = state.failures.read(now) * failureCostMs;
  const connectMs = hasIdleConnection(state) ? 0 : newConnectionCostMs;
  const zoneMs = state.replica.zone === zone ? 0 : otherZoneCostMs;
  return failureMs + zoneMs + connectMs;
}
