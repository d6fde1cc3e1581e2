/**
 * Waits for an address that another process still holds.
 *
 * A node may start while the one that it replaces is ending, while the system has not
 * released its ports, or while it has no descriptors to give.
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

const shortCodes: ReadonlySet<unknown> = new Set(["EMFILE", "ENFILE"]);

/** What waits, for the log. */
export interface AddressWaitOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Name of the listener. */
  readonly listener: string;
}

/**
 * Opens a listener, again and again while its address is held or descriptors are
 * short; rejects after 30 s, and at once for another reason.
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
      const { code } = thrown as NodeJS.ErrnoException;
      const isShort = shortCodes.has(code);
      const isPassing = isShort || heldCodes.has(code);
      if (!isPassing || clock.now() >= endsAt) throw thrown;
      if (!isLogged) {
        const reason = formatThrown(thrown);
        const message = isShort
          ? "descriptors are short, waiting to listen."
          : "an address is still held, waiting for it.";
        log.warn(message, { listener, reason });
      }
      isLogged = true;
      await clock.sleep(retryMs);
    }
  }
}
