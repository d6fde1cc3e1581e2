/**
 * Exponential backoff with jitter for loops that call a service again.
 *
 * The first pause is at least the loop's ordinary interval, so a loop never
 * calls faster while its service fails than while it works.
 */

import type { Random } from "@almondcrank/common/random.ts";

/** Bounds of the pauses, in milliseconds. */
export interface BackoffOptions {
  /** Shortest pause: the loop's ordinary interval. */
  readonly initialMs: number;
  readonly maxMs: number;
}

/** Pauses of one loop. */
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

  /** Counts a failure and computes the pause that follows it, in milliseconds. */
  computePause(): number {
    const { initialMs, maxMs } = this.#options;
    const ceiling = Math.min(maxMs, initialMs * 2 ** this.#failures);
    this.#failures = Math.min(this.#failures + 1, 30);
    return Math.max(initialMs, ceiling * (0.5 + this.#random.next() / 2));
  }

  /** Starts over after a success. */
  reset(): void {
    this.#failures = 0;
  }
}
