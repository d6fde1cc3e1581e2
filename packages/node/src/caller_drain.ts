/**
 * The last part of a drain: the callers' remaining requests end, and their answers
 * are read.
 *
 * Both share one time limit. A caller that does not read its answer must not hold
 * the node beyond it.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { RequestCounter } from "./request_counter.ts";

/** Options of `drainCallers`. */
export interface CallerDrainOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly requests: RequestCounter;
  /** Time limit in milliseconds. */
  readonly drainMs: number;
  /** Closes the listener; resolves when the callers have read their answers. */
  readonly close: () => Promise<void>;
}

/** Waits for the callers' requests, then for their connections to end. */
export async function drainCallers(options: CallerDrainOptions): Promise<void> {
  const { clock, log, requests, drainMs, close } = options;
  const end = clock.now() + drainMs;
  const isIdle = await requests.waitIdle(drainMs);
  if (!isIdle) log.warn("drain timed out with requests in progress.");
  const leftMs = Math.max(0, end - clock.now());
  const isClosed = await Promise.race([
    close().then(() => true),
    clock.sleep(leftMs).then(() => false),
  ]);
  if (isIdle && !isClosed) {
    log.warn("drain timed out with unread answers.", { drainMs });
  }
}
