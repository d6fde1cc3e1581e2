/**
 * Waits that end at a request's deadline or when its caller is gone.
 */

import type { Clock } from "@almondcrank/common/clock.ts";

const waitEnded = "the wait has ended";

/** When to stop waiting. */
export interface WaitLimit {
  readonly clock: Clock;
  /** Monotonic time in milliseconds. */
  readonly deadline: number;
  readonly signal: AbortSignal;
}

/** Waits for `pending`; undefined when the deadline or the signal came first. */
export async function waitUntilDeadline<T>(
  pending: Promise<T>,
  { clock, deadline, signal }: WaitLimit,
): Promise<T | undefined> {
  const ended = new AbortController();
  // A reason of its own spares the DOMException with its stack trace.
  const stop = (): void => ended.abort(waitEnded);
  signal.addEventListener("abort", stop, { once: true });
  if (signal.aborted) stop();
  const due = clock.sleep(deadline - clock.now(), ended.signal)
    .then(() => undefined);
  try {
    return await Promise.race([pending, due]);
  } finally {
    signal.removeEventListener("abort", stop);
    stop();
  }
}
