/**
 * Monotonic clock that includes time in which the host was suspended.
 *
 * The monotonic clock of the operating system excludes suspension; the time of
 * day does not. Therefore a forward jump of the time of day counts as time that
 * passed. If the time of day was only set forward, a lease or a feed's
 * confirmation seems older than it is, which is safe. Where the opposite is safe,
 * as in the number of nodes that share a limit, `addedMs` is left out again.
 */

import type { Clock } from "@almondcrank/common/clock.ts";

/** Smaller differences are drift and rounding. */
const minJumpMs = 250;

/** Clock that corrects another one for suspension. */
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

  /** Time that forward jumps have added so far, in milliseconds. */
  get addedMs(): number {
    this.now();
    return this.#added;
  }

  now(): number {
    const now = this.#clock.now();
    const offset = this.#clock.wallTime() - now;
    const jumpMs = offset - this.#offset;
    if (Math.abs(jumpMs) >= minJumpMs) {
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
