/**
 * Counts requests in progress, so that a drain can wait for them.
 */

import type { Clock } from "@almondcrank/common/clock.ts";

/** Interval at which `waitIdle` checks the counter. */
const pollMs = 20;

/** Counter of the requests that a node has accepted and not yet answered. */
export class RequestCounter {
  readonly #clock: Clock;
  #active = 0;

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): RequestCounter {
    return new RequestCounter(clock);
  }

  /** Requests in progress. */
  get active(): number {
    return this.#active;
  }

  /** Runs one request and counts it until it settles. */
  async run<T>(request: () => Promise<T>): Promise<T> {
    this.#active++;
    try {
      return await request();
    } finally {
      this.#active--;
    }
  }

  /** Waits until no request is in progress; false after `timeoutMs`. */
  async waitIdle(timeoutMs: number): Promise<boolean> {
    const end = this.#clock.now() + timeoutMs;
    while (this.#active > 0) {
      if (this.#clock.now() >= end) return false;
      await this.#clock.sleep(pollMs);
    }
    return true;
  }
}
