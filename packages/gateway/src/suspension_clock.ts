/**
 * Monotonic clock that also counts time in which the host stood still.
 *
 * The operating system's monotonic clock leaves out a suspension; the time of
 * day does not. A forward jump of the time of day is therefore counted as time
 * that passed. If it was only set forward, a lease or proof of this node is
 * taken for older than it is, which is safe.
 */

import type { Clock } from "@almondcrank/common/clock.ts";

/** Differences below this are drift and rounding. */
const smallestJumpMs = 250;

/** Clock over another one. */
export class SuspensionClock implements Clock {
  readonly #clock: Clock;
  #offset: number;
  #added = 0;

  private constructor(clock: Clock) {
    this.#clock = clock;
    this.#offset = clock.wallTime() - clock.now();
  }

  static create(clock: Clock): SuspensionClock {
    return new SuspensionClock(clock);
  }

  now(): number {
    const now = this.#clock.now();
    const offset = this.#clock.wallTime() - now;
    const jumpMs = offset - this.#offset;
    if (Math.abs(jumpMs) >= smallestJumpMs) {
      this.#offset = offset;
      if (jumpMs > 0) this.#added += jumpMs;
    }
    return now + this.#added;
  }

  wallTime(): number {
    return this.#clock.wallTime();
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return this.#clock.sleep(ms, signal);
  }
}
