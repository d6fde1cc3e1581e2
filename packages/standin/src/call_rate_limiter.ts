/**
 * Rate limit on calls: a token bucket that holds the calls of one second,
 * at least one.
 */

import type { Clock } from "@almondcrank/common/clock.ts";

const millisecondsPerSecond = 1_000;

/** Token bucket for calls. */
export class CallRateLimiter {
  readonly #clock: Clock;
  #perSecond: number;
  #tokens: number;
  #refilledAt: number;

  private constructor(clock: Clock, perSecond: number) {
    this.#clock = clock;
    this.#perSecond = perSecond;
    this.#tokens = perSecond;
    this.#refilledAt = clock.now();
  }

  static create(clock: Clock, perSecond: number): CallRateLimiter {
    return new CallRateLimiter(clock, perSecond);
  }

  /** Changes the rate in calls per second and fills the bucket. */
  setRate(perSecond: number): void {
    this.#perSecond = perSecond;
    this.#tokens = perSecond;
    this.#refilledAt = this.#clock.now();
  }

  /** Admits a call and returns 0, or returns the milliseconds to wait. */
  claim(): number {
    const now = this.#clock.now();
    const perMs = this.#perSecond / millisecondsPerSecond;
    const refilled = this.#tokens + (now - this.#refilledAt) * perMs;
    this.#tokens = Math.min(Math.max(1, this.#perSecond), refilled);
    this.#refilledAt = now;
    if (this.#tokens >= 1) {
      this.#tokens -= 1;
      return 0;
    }
    return Math.ceil((1 - this.#tokens) / perMs);
  }
}
