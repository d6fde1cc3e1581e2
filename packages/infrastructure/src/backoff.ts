/**
 * Exponential backoff with jitter for loops that retry calls to a service.
 *
 * No pause is shorter than the loop's regular interval, so a loop never calls a
 * failing service more often than a working one.
 */

import type { Random } from "@almondcrank/common/random.ts";

/** Bounds of the pauses, in milliseconds. */
export interface BackoffOptions {
  /** Shortest pause: the loop's regular interval. */
  readonly initialMs: number;
  /** Longest pause. */
  readonly maxMs: number;
}

/** Backoff state of one loop. */
export class Backoff {
  readonly #random: Random;
  readonly #options: BackoffOptions;
  #failures = 0;

  private constructor(random: Random, options: BackoffOptions) {
    this.#random = random;
    this.#options = options;
  }

  static create(random: Random, options: BackoffOptions): Backoff {
    return new Backoff(random, options);
  }

  /**
   * Counts a failure and returns the pause before the next try, in
   * milliseconds.
   */
  computePause(): number {
    const { initialMs, maxMs } = this.#options;
    const ceiling = Math.min(maxMs, initialMs * 2 ** this.#failures);
    this.#failures = Math.min(this.#failures + 1, 30);
    return Math.max(initialMs, ceiling * (0.5 + this.#random.next() / 2));
  }

  /** Resets the pauses after a success. */
  reset(): void {
    this.#failures = 0;
  }
}
