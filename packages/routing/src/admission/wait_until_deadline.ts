/**
 * Waits that end at a request's deadline or when its caller is gone.
 */

import type { Clock } from "@almondcrank/common/clock.ts";

const abortReason = "the wait has ended";

/** Conditions that end a wait. */
export interface WaitLimit {
  readonly clock: Clock;
  /** Monotonic time in milliseconds. */
  readonly deadline: number;
  readonly signal: AbortSignal;
}

/** Waits for `pending`; undefined when the deadline or the abort came first. */
export async function waitUntilDeadline<T>(
  pending: Promise<T>,
  { clock, deadline, signal }: WaitLimit,
): Promise<T | undefined> {
  const stopped = new AbortController();
  // A string as the reason avoids a DOMException with its stack trace.
  const stop = (): void => stopped.abort(abortReason);
  signal.addEventListener("abort", stop, { once: true });
  if (signal.aborted) stop();
  const timedOut = clock.sleep(deadline - clock.now(), stopped.signal)
    .then(() => undefined);
  try {
    return await Promise.race([pending, timedOut]);
  } finally {
    signal.removeEventListener("abort", stop);
    stop();
  }
}
