/**
 * Endpoints that are leaving, from reclaim notices.
 *
 * An endpoint once known to be leaving stays so until long after its end,
 * whatever a lagging host list says: a replacement has another name.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import type { LeavingEndpoint } from "./membership.ts";

/** Time after its end for which an endpoint stays known. */
const keepAfterEndMs = 900_000;

/** Known leaving endpoints with the time at which each ends. */
export class LeavingEndpoints {
  readonly #clock: Clock;
  readonly #ends = new Map<string, number>();
  readonly #added = Emitter.create<LeavingEndpoint>();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): LeavingEndpoints {
    return new LeavingEndpoints(clock);
  }

  /** Fires once for each endpoint that becomes known to be leaving. */
  get onAdd(): Event<LeavingEndpoint> {
    return this.#added.event;
  }

  /** Marks an endpoint; false when it was known. */
  add({ endpoint, remainingMs }: LeavingEndpoint): boolean {
    if (this.#ends.has(endpoint)) return false;
    if (remainingMs <= -keepAfterEndMs) return false;
    this.#ends.set(endpoint, this.#clock.now() + remainingMs);
    this.#added.fire({ endpoint, remainingMs });
    return true;
  }

  has(endpoint: string): boolean {
    return this.#ends.has(endpoint);
  }

  /** Time left, negative after the end; undefined when it is not leaving. */
  findRemainingMs(endpoint: string): number | undefined {
    const end = this.#ends.get(endpoint);
    return end === undefined ? undefined : end - this.#clock.now();
  }

  list(): readonly LeavingEndpoint[] {
    const now = this.#clock.now();
    return [...this.#ends].map(([endpoint, end]) => ({
      endpoint,
      remainingMs: Math.round(end - now),
    }));
  }

  /** Forgets those that ended long ago; returns their names. */
  removeEnded(): readonly string[] {
    const limit = this.#clock.now() - keepAfterEndMs;
    const ended = [...this.#ends].filter(([, end]) => end <= limit)
      .map(([endpoint]) => endpoint);
    for (const endpoint of ended) this.#ends.delete(endpoint);
    return ended;
  }

  dispose(): void {
    this.#added.dispose();
  }
}
