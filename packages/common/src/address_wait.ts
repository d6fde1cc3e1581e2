/**
 * Waits for an address that another process still holds.
 *
 * A node may start while the one that it replaces is ending, or while the system
 * has not released its ports.
 */

import type { Clock } from "./clock.ts";
import { formatThrown } from "./kind_error.ts";
import type { Log } from "./logs.ts";

const retryMs = 100;
/** Longest wait: above the time in which a replaced node has to end. */
const maxWaitMs = 30_000;
const heldCodes: ReadonlySet<unknown> = new Set([
  "EADDRINUSE",
  "EADDRNOTAVAIL",
]);

/** What waits, for the log. */
export interface AddressWaitOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Name of the listener. */
  readonly listener: string;
}

/**
 * Opens a listener, again and again while its address is held; rejects after 30 s,
 * and at once for another reason.
 */
export async function openWhenFree<T>(
  open: () => Promise<T>,
  { clock, log, listener }: AddressWaitOptions,
): Promise<T> {
  const endsAt = clock.now() + maxWaitMs;
  let isLogged = false;
  while (true) {
    try {
      return await open();
    } catch (thrown) {
      const isHeld = heldCodes.has((thrown as NodeJS.ErrnoException).code);
      if (!isHeld || clock.now() >= endsAt) throw thrown;
      if (!isLogged) {
        const reason = formatThrown(thrown);
        log.warn("an address is still held, waiting for it.", {
          listener,
          reason,
        });
      }
      isLogged = true;
      await clock.sleep(retryMs);
    }
  }
}
