/**
 * Endpoints that are leaving, as reclaim notices report them.
 *
 * An endpoint stays marked until long after its end, even while an outdated
 * host list still shows it. That is safe, since a replacement has another name.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import type { LeavingEndpoint } from "./membership.ts";

/** Time after its end for which an endpoint stays marked. */
const retainAfterEndMs = 900_000;

/** Leaving endpoints with the monotonic time at which each ends. */
export class LeavingEndpoints {
  readonly #clock: Clock;
  readonly #endTimes = new Map<string, number>();
  readonly #added = Emitter.create<LeavingEndpoint>();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): LeavingEndpoints {
    return new LeavingEndpoints(clock);
  }

  /** Fires once for each endpoint that is marked as leaving. */
  get onAdd(): Event<LeavingEndpoint> {
    return this.#added.event;
  }

  /** Marks an endpoint; false when it was marked before or ended long ago. */
  add({ endpoint, remainingMs }: LeavingEndpoint): boolean {
    if (this.#endTimes.has(endpoint)) return false;
    if (remainingMs <= -retainAfterEndMs) return false;
    this.#endTimes.set(endpoint, this.#clock.now() + remainingMs);
    this.#added.fire({ endpoint, remainingMs });
    return true;
  }

  has(endpoint: string): boolean {
    return this.#endTimes.has(endpoint);
  }

  /** Milliseconds left, negative after the end; undefined if not leaving. */
  findRemainingMs(endpoint: string): number | undefined {
    const end = this.#endTimes.get(endpoint);
    return end === undefined ? undefined : end - this.#clock.now();
  }

  list(): readonly LeavingEndpoint[] {
    const now = this.#clock.now();
    return [...this.#endTimes].map(([endpoint, end]) => ({
      endpoint,
      remainingMs: Math.round(end - now),
    }));
  }

  /** Removes endpoints that ended long ago and returns their names. */
  removeEnded(): readonly string[] {
    const limit = this.#clock.now() - retainAfterEndMs;
    const ended = [...this.#endTimes].filter(([, end]) => end <= limit)
      .map(([endpoint]) => endpoint);
    for (const endpoint of ended) this.#endTimes.delete(endpoint);
    return ended;
  }

  dispose(): void {
    this.#added.dispose();
  }
}
