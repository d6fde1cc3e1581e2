/**
 * Runs the step of a duty periodically while this node holds the duty lease.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { DutyLease } from "./duty_lease.ts";

/** Options of a duty loop. */
export interface DutyLoopOptions {
  readonly clock: Clock;
  readonly lease: Pick<DutyLease, "fencingToken">;
  /** Delay between steps. */
  readonly pollMs: number;
  readonly signal: AbortSignal;
  /** Called when the fencing token changed, as cached state may be out of date. */
  readonly discardState: () => void;
  readonly step: () => Promise<void>;
}

/** Runs until the signal aborts. */
export async function runDutyLoop(options: DutyLoopOptions): Promise<void> {
  const { clock, lease, pollMs, signal, discardState, step } = options;
  let previous: number | undefined;
  while (!signal.aborted) {
    await clock.sleep(pollMs, signal);
    const { fencingToken } = lease;
    if (fencingToken !== previous) discardState();
    previous = fencingToken;
    if (fencingToken !== undefined) await step();
  }
}
