/**
 * Runs a duty's step again and again while this node holds the lease.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { DutyLease } from "./duty_lease.ts";

/** What a loop needs. */
export interface DutyLoopOptions {
  readonly clock: Clock;
  readonly lease: Pick<DutyLease, "fencing">;
  /** Pause between steps. */
  readonly pollMs: number;
  readonly signal: AbortSignal;
  /** Called when the fencing number changed: what was known is out of date. */
  readonly discardState: () => void;
  readonly step: () => Promise<void>;
}

/** Runs until the signal aborts. */
export async function runDutyLoop(options: DutyLoopOptions): Promise<void> {
  const { clock, lease, pollMs, signal, discardState, step } = options;
  let previous: number | undefined;
  while (!signal.aborted) {
    await clock.sleep(pollMs, signal);
    const { fencingToken: fencing } = lease;
    if (fencing !== previous) discardState();
    previous = fencing;
    if (fencing !== undefined) await step();
  }
}
