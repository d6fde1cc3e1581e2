/**
 * Limit on calls a second, as a token bucket that holds one second's worth.
 */

import type { Clock } from "@almondcrank/common/clock.ts";

const millisecondsPerSecond = 1_000;

/** Token bucket over a clock. */
export class CallRateLimiter {
  readonly #clock: Clock;
  #perSecond: number;
  #tokens: number;
  #filledAt: number;

  private constructor(clock: Clock, perSecond: number) {
    this.#clock = clock;
    this.#perSecond = perSecond;
    this.#tokens = perSecond;
    this.#filledAt = clock.now();
  }

  static create(clock: Clock, perSecond: number): CallRateLimiter {
    return new CallRateLimiter(clock, perSecond);
  }

  /** Changes the rate and fills the bucket. */
  setRate(perSecond: number): void {
    this.#perSecond = perSecond;
    this.#tokens = perSecond;
    this.#filledAt = this.#clock.now();
  }

  /** Takes one call; returns 0, or the milliseconds until one is allowed. */
  claim(): number {
    const now = this.#clock.now();
    const perMs = this.#perSecond / millisecondsPerSecond;
    const filled = this.#tokens + (now - this.#filledAt) * perMs;
    this.#tokens = Math.min(Math.max(1, this.#perSecond), filled);
    this.#filledAt = now;
    if (this.#tokens >= 1) {
      this.#tokens -= 1;
      return 0;
    }
    return Math.ceil((1 - this.#tokens) / perMs);
  }
}
