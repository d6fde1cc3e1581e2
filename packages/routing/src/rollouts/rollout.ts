/**
 * A service's move to another software version: the operators' order, the step
 * that is in force, and how it ended.
 */

/** Order to move a service's traffic to replicas of a software version. */
export interface RolloutOrder {
  /** Distinguishes it from earlier orders for the service; later ones are higher. */
  readonly id: number;
  readonly service: string;
  /** Software version that the service shall run. */
  readonly to: string;
  /** Time from the order within which it has to end, in milliseconds. */
  readonly durationMs: number;
}

/** State of an order, as operators see it. */
export type RolloutState = "in_progress" | "completed" | "reverted";

/** Share of a service's requests that go to the new version, until it expires. */
export interface RolloutStep {
  /** Increases with each change, also when the duty changes hands. */
  readonly number: number;
  /** Share of new requests for the new version, in [0, 1]. */
  readonly share: number;
  /**
   * Requests that the new version may have got from all nodes, by the counts that
   * a node has: it bounds what a share costs that outlives its holder.
   */
  readonly most: number;
  /** Monotonic time at which the holder issued it, in milliseconds. */
  readonly issuedAt: number;
  /**
   * Whether the completion may have been written: if no old replica is left, the
   * new ones are used.
   */
  readonly isFinishing: boolean;
}

/** What a node knows of the last order for a service. */
export interface RolloutRecord {
  readonly order: RolloutOrder;
  /** Versions that served before the order. */
  readonly from: readonly string[];
  /** Versions of earlier orders that were not completed; they get nothing. */
  readonly barred: readonly string[];
  /** Latest monotonic time at which the order was not there, in milliseconds. */
  readonly startedAt: number;
  readonly state: RolloutState;
  readonly step: RolloutStep;
  /**
   * Why the new version may get nothing more, though the state is not written
   * yet; undefined while it may.
   */
  readonly stopReason: string | undefined;
  /** Monotonic time at which this node learnt of the end, in milliseconds. */
  readonly endedAt?: number;
}

/** Largest number of barred versions of a service; the earliest are forgotten. */
export const maxBarredVersions = 4;

/** Lists the versions that an order for `to` bars, from the order before it. */
export function listBarred(
  before: RolloutRecord | undefined,
  to: string,
): readonly string[] {
  if (before === undefined) return [];
  const { order, barred, state, step, stopReason } = before;
  // One whose completion may have been written may be all that still runs.
  const mayBeTrusted = state === "completed" ||
    state === "in_progress" && step.isFinishing && stopReason === undefined;
  const earlier = barred.filter((version) => version !== order.to);
  return (mayBeTrusted ? earlier : [...earlier, order.to])
    .filter((version) => version !== to)
    .slice(-maxBarredVersions);
}

/** Whether the order has ended for good. */
export function hasEnded({ state }: RolloutRecord): boolean {
  return state !== "in_progress";
}
