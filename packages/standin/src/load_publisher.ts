/**
 * Load as a part publishes it: at intervals, so that a reader sees an older one.
 */

import type { Clock } from "@almondcrank/common/clock.ts";

/** A load with its age in milliseconds. */
export interface PublishedLoad<T> {
  readonly ageMs: number;
  readonly load: T;
}

/** Options of a load publisher. */
export interface LoadPublisherOptions<T> {
  readonly clock: Clock;
  /** 0 publishes each change at once. */
  readonly intervalMs: number;
  /** Load at this moment. */
  readonly read: () => T;
}

/**
 * Keeps the load as of the end of the last interval.
 *
 * `record` is called before each change: the load is then still what it was at
 * the interval's end, so no timer is needed.
 */
export class LoadPublisher<T> {
  readonly #options: LoadPublisherOptions<T>;
  #at: number;
  #load: T;

  private constructor(options: LoadPublisherOptions<T>) {
    this.#options = options;
    this.#at = options.clock.now();
    this.#load = options.read();
  }

  static create<T>(options: LoadPublisherOptions<T>): LoadPublisher<T> {
    return new LoadPublisher(options);
  }

  /** Publishes the load if an interval has ended since the last time. */
  refresh(): void {
    const { clock, intervalMs, read } = this.#options;
    const now = clock.now();
    if (now - this.#at < intervalMs) return;
    this.#at = intervalMs === 0 ? now : now - now % intervalMs;
    this.#load = read();
  }

  /** Load as last published. */
  read(): PublishedLoad<T> {
    this.refresh();
    return { ageMs: this.#options.clock.now() - this.#at, load: this.#load };
  }
}
