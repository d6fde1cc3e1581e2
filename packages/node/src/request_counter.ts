/**
 * Counts requests in progress, so that a drain can wait for them.
 */

import type { Clock } from "@almondcrank/common/clock.ts";

const pollMs = 20;

/** Requests of one node that have been accepted and not yet answered. */
export class RequestCounter {
  readonly #clock: Clock;
  #active = 0;

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): RequestCounter {
    return new RequestCounter(clock);
  }

  get active(): number {
    return this.#active;
  }

  /** Runs one request, counted until it has settled. */
  async run<T>(request: () => Promise<T>): Promise<T> {
    this.#active++;
    try {
      return await request();
    } finally {
      this.#active--;
    }
  }

  /** Waits until nothing is in progress; false when `timeoutMs` ended first. */
  async waitIdle(timeoutMs: number): Promise<boolean> {
    const end = this.#clock.now() + timeoutMs;
    while (this.#active > 0) {
      if (this.#clock.now() >= end) return false;
      await this.#clock.sleep(pollMs);
    }
    return true;
  }
}
