/**
 * A clock that tests advance manually.
 *
 * Sleeps end in order of their due time. After each one the event loop runs
 * once, so that the resumed code runs before the next sleep ends.
 */

import type { Clock } from "./clock.ts";

interface Sleeper {
  readonly due: number;
  readonly wake: () => void;
}

/** Clock whose time moves only by `advance`. */
export class ManualClock implements Clock {
  #now = 0;
  /** In the order in which they end. */
  readonly #sleepers: Sleeper[] = [];
  readonly #wallOrigin: number;

  private constructor(wallOrigin: number) {
    this.#wallOrigin = wallOrigin;
  }

  static create(wallOrigin = 1_700_000_000_000): ManualClock {
    return new ManualClock(wallOrigin);
  }

  now(): number {
    return this.#now;
  }

  wallTime(): number {
    return this.#wallOrigin + this.#now;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) return resolve();
      const finish = (): void => {
        this.#remove(sleeper);
        signal?.removeEventListener("abort", finish);
        resolve();
      };
      const sleeper: Sleeper = { due: this.#now + ms, wake: finish };
      this.#sleepers.splice(this.#findPlace(sleeper.due), 0, sleeper);
      signal?.addEventListener("abort", finish);
    });
  }

  /** Advances time by `ms` and ends the sleeps that become due, in order. */
  async advance(ms: number): Promise<void> {
    const end = this.#now + ms;
    await this.#runPending();
    for (;;) {
      const [next] = this.#sleepers;
      if (next === undefined || next.due > end) break;
      this.#now = Math.max(this.#now, next.due);
      next.wake();
      await this.#runPending();
    }
    this.#now = end;
  }

  /** Place after all that are due at that time or before. */
  #findPlace(due: number): number {
    let low = 0;
    let high = this.#sleepers.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.#sleepers[middle]?.due ?? Infinity) <= due) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  #remove(sleeper: Sleeper): void {
    if (this.#sleepers[0] === sleeper) return void this.#sleepers.shift();
    const at = this.#sleepers.indexOf(sleeper);
    if (at >= 0) this.#sleepers.splice(at, 1);
  }

  #runPending(): Promise<void> {
    return new Promise((resolve) => setImmediate(resolve));
  }
}
