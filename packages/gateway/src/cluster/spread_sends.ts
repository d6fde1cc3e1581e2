/**
 * Sends a tick's datagrams one after the other instead of all at one moment.
 *
 * A relay's reports of one tick are larger than the queue of a narrow link, which
 * drops what does not fit. Spread over the tick, they leave room for each other and
 * for callers' traffic. Each tick begins with another receiver, so that what is lost
 * nevertheless is not always meant for the same nodes.
 */

import type { Clock } from "@almondcrank/common/clock.ts";

/** Share of the link that the datagrams may take while they are sent. */
const linkShare = 0.5;
/** Share of a tick in which all of its datagrams are sent. */
const tickShare = 0.8;
/** Shortest wait between two sends; what is due in it is sent together. */
const minWaitMs = 5;

/** Share of the receivers by which ticks begin apart: the golden ratio. */
const turnShare = 0.618;

/** A datagram that waits to be sent. */
export interface WaitingSend {
  /** Its approximate size, in bytes. */
  readonly bytes: number;
  readonly send: () => void;
}

/** What the sends are spread by. */
export interface SpreadOptions {
  readonly clock: Clock;
  /** Speed of this node's link; undefined if it is not known. */
  readonly linkBytesPerMs: number | undefined;
  /** Aborts when the node ends. */
  readonly signal: AbortSignal;
}

/** Sends of one node. */
export class SpreadSends {
  readonly #options: SpreadOptions;
  #tickCount = 0;

  private constructor(options: SpreadOptions) {
    this.#options = options;
  }

  static create(options: SpreadOptions): SpreadSends {
    return new SpreadSends(options);
  }

  /** Sends the datagrams of one tick; resolves when the last one has been sent. */
  async run(sends: readonly WaitingSend[], tickMs: number): Promise<void> {
    const { clock, signal } = this.#options;
    const bytesPerMs = this.#computeSpeed(sends, tickMs);
    let aheadMs = 0;
    for (const { bytes, send } of this.#listInTurn(sends)) {
      if (aheadMs >= minWaitMs) {
        const startedAt = clock.now();
        await clock.sleep(aheadMs, signal);
        // A late timer has given the link more time than was asked for.
        aheadMs = Math.max(0, aheadMs - (clock.now() - startedAt));
      }
      if (signal.aborted) return;
      send();
      aheadMs += bytes / bytesPerMs;
    }
  }

  /** Speed at which the sends keep to their share and end within the tick. */
  #computeSpeed(sends: readonly WaitingSend[], tickMs: number): number {
    const { linkBytesPerMs = Infinity } = this.#options;
    const total = sends.reduce((sum, { bytes }) => sum + bytes, 0);
    return Math.max(linkBytesPerMs * linkShare, total / (tickMs * tickShare));
  }

  #listInTurn(sends: readonly WaitingSend[]): readonly WaitingSend[] {
    this.#tickCount += 1;
    const first = Math.floor(this.#tickCount * turnShare % 1 * sends.length);
    return [...sends.slice(first), ...sends.slice(0, first)];
  }
}
