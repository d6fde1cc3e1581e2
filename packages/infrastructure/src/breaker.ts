/**
 * Circuit breaker of one service.
 *
 * Consecutive failures open it. While it is open, one call per pause passes as
 * a probe. A success closes the breaker; each probe doubles the pause up to a
 * bound. Pauses are jittered so that processes do not probe at the same time. A
 * probe may be a long poll, so the next probe does not wait for its outcome.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Random } from "@almondcrank/common/random.ts";

/** Consecutive failures that open the breaker. */
const failuresToOpen = 5;
/** First pause before a probe. */
const shortestOpenMs = 500;
/** Default of the longest pause between probes. */
const longestOpenMs = 5_000;

/** Whether a call may be sent; otherwise the time until the next probe. */
export type BreakerVerdict =
  | { readonly kind: "pass" }
  | { readonly kind: "open"; readonly retryAfterMs: number };

/** Circuit breaker of one service. */
export class Breaker {
  readonly #clock: Clock;
  readonly #random: Random;
  #failures = 0;
  #openMs = shortestOpenMs;
  #openUntil: number | undefined;

  readonly #longestOpenMs: number;

  private constructor(clock: Clock, random: Random, longestMs: number) {
    this.#clock = clock;
    this.#random = random;
    this.#longestOpenMs = longestMs;
  }

  /** @param longestMs Longest pause between probes, in milliseconds. */
  static create(
    clock: Clock,
    random: Random,
    longestMs: number = longestOpenMs,
  ): Breaker {
    return new Breaker(clock, random, longestMs);
  }

  /**
   * Checks whether a call may be sent. The outcome of a call that passes must
   * be recorded.
   */
  check(): BreakerVerdict {
    if (this.#openUntil === undefined) return { kind: "pass" };
    const remainingMs = this.#openUntil - this.#clock.now();
    if (remainingMs > 0) return { kind: "open", retryAfterMs: remainingMs };
    this.#open();
    return { kind: "pass" };
  }

  /** Records that the service answered. */
  recordSuccess(): void {
    this.#failures = 0;
    this.#openMs = shortestOpenMs;
    this.#openUntil = undefined;
  }

  /** Records a call that failed or got no answer. */
  recordFailure(): void {
    this.#failures += 1;
    const isOpen = this.#openUntil !== undefined;
    if (this.#failures >= failuresToOpen && !isOpen) this.#open();
  }

  #open(): void {
    const openMs = Math.min(this.#longestOpenMs, this.#openMs);
    const pauseMs = openMs * (0.5 + this.#random.next() / 2);
    this.#openUntil = this.#clock.now() + pauseMs;
    this.#openMs = Math.min(this.#longestOpenMs, this.#openMs * 2);
  }
}
