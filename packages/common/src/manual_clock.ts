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
  #sleepers: Sleeper[] = [];
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
        this.#sleepers = this.#sleepers.filter((other) => other !== sleeper);
        signal?.removeEventListener("abort", finish);
        resolve();
      };
      const sleeper: Sleeper = { due: this.#now + ms, wake: finish };
      this.#sleepers.push(sleeper);
      signal?.addEventListener("abort", finish);
    });
  }

  /** Advances time by `ms` and ends the sleeps that become due, in order. */
  async advance(ms: number): Promise<void> {
    const end = this.#now + ms;
    await this.#runPending();
    for (;;) {
      const next = this.#findNext(end);
      if (next === undefined) break;
      this.#sleepers = this.#sleepers.filter((other) => other !== next);
      this.#now = Math.max(this.#now, next.due);
      next.wake();
      await this.#runPending();
    }
    this.#now = end;
  }

  #findNext(end: number): Sleeper | undefined {
    let first: Sleeper | undefined;
    for (const sleeper of this.#sleepers) {
      if (sleeper.due > end) continue;
      if (first === undefined || sleeper.due < first.due) first = sleeper;
    }
    return first;
  }

  #runPending(): Promise<void> {
    return new Promise((resolve) => setImmediate(resolve));
  }
}
