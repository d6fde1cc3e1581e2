/**
 * A bounded line of requests that wait for a place of one service.
 *
 * The load that this answers: places are short for moments, and what comes in such
 * a moment is refused whatever its urgency, while what comes a moment later is
 * served. Here a request waits if a place is expected in time. It is refused at
 * once if not, and as soon as a more urgent one takes its place.
 *
 * The time until a place is free is the caller's forecast for the first in line,
 * plus the usual time between two starts for each one before it.
 */

import { DecayingValue } from "@almondcrank/common/decaying_value.ts";
import type { RoomRefusal } from "./room_verdict.ts";
import { comparePlaces, compareUrgency, type Waiter } from "./urgency_order.ts";

/** Largest share of a line that one tenant may take while others wait. */
const maxTenantShare = 0.5;
/** Number of places in a line that every tenant may take. */
const minTenantPlaces = 2;
/** Weight of the latest time between two starts in the average. */
const startWeight = 0.2;
/** Time between two starts before any was seen. */
const initialStartMs = 20;
/** Time in which what a tenant was served decays to 1/e. */
const servedDecayMs = 8_000;
/** Largest number of tenants whose service is remembered. */
const maxTenants = 512;

/** A request and the time until a place would be free for it as the first in line. */
export interface LineEntry<T extends Waiter> {
  readonly waiter: T;
  /** Updated by `recordForecast`; in milliseconds. */
  readonly placeInMs: number;
}

/** Outcome of an offer to a line. */
export type LineVerdict<T> =
  | {
    readonly kind: "waits";
    /** Monotonic time in milliseconds. */
    readonly expectedAt: number;
    /** Waiting requests that now have no place in time. */
    readonly displaced: readonly T[];
  }
  | { readonly kind: "refused"; readonly reason: RoomRefusal };

/** Line of one service. Times are monotonic, in milliseconds. */
export class WaitingLine<T extends Waiter> {
  readonly #maxLength: number;
  #entries: LineEntry<T>[] = [];
  #startMs = initialStartMs;
  #lastStartAt: number | undefined;
  readonly #served = new Map<string, DecayingValue>();

  private constructor(maxLength: number) {
    this.#maxLength = maxLength;
  }

  /** @param maxLength Largest number of waiting requests. */
  static create<T extends Waiter>(maxLength: number): WaitingLine<T> {
    return new WaitingLine(maxLength);
  }

  /** Number of waiting requests. */
  get length(): number {
    return this.#entries.length;
  }

  /** Usual time between two starts while requests wait. */
  get startMs(): number {
    return this.#startMs;
  }

  /** Lists the waiting requests, the next one first. */
  list(): readonly T[] {
    return this.#entries.map(({ waiter }) => waiter);
  }

  /** Whether a request must let one that waits go first. */
  hasMoreUrgent(waiter: Waiter): boolean {
    return this.#entries.some((entry) =>
      compareUrgency(entry.waiter, waiter) < 0
    );
  }

  /** Offers a request that finds no place now. */
  offer(waiter: T, placeInMs: number, now: number): LineVerdict<T> {
    const position = this.#findPosition(waiter, now);
    const expectedAt = this.#computeExpectedAt(position, placeInMs, now);
    if (expectedAt > waiter.latestStartAt) {
      return { kind: "refused", reason: "no_place_in_time" };
    }
    if (this.#exceedsTenantShare(waiter)) {
      return { kind: "refused", reason: "tenant_share" };
    }
    if (position >= this.#maxLength) {
      return { kind: "refused", reason: "line_full" };
    }
    if (this.#entries.length === 0) this.#lastStartAt = undefined;
    this.#entries.splice(position, 0, { waiter, placeInMs });
    return { kind: "waits", expectedAt, displaced: this.#displace(now) };
  }

  /** Updates the time until a place is free for a waiting request. */
  recordForecast(waiter: T, placeInMs: number): void {
    const at = this.#findIndex(waiter);
    if (at >= 0) this.#entries[at] = { waiter, placeInMs };
  }

  /** Takes out the requests that can no longer start in time. */
  takeLate(now: number): readonly T[] {
    const late = this.list().filter(({ latestStartAt }) => now > latestStartAt);
    for (const waiter of late) this.remove(waiter);
    return late;
  }

  /** Takes a request out of the line; returns whether it waited. */
  remove(waiter: T): boolean {
    const at = this.#findIndex(waiter);
    if (at < 0) return false;
    this.#entries.splice(at, 1);
    return true;
  }

  /** Records that a request starts, whether it waited or not. */
  recordStart({ tenant, tokens }: T, now: number): void {
    if (this.#entries.length > 0) {
      if (this.#lastStartAt !== undefined) {
        const ms = now - this.#lastStartAt;
        this.#startMs += (ms - this.#startMs) * startWeight;
      }
      this.#lastStartAt = now;
    }
    this.#findServed(tenant).add(tokens, now);
  }

  #findIndex(waiter: T): number {
    return this.#entries.findIndex((entry) => entry.waiter === waiter);
  }

  #findPosition(waiter: T, now: number): number {
    const readServed = (tenant: string): number =>
      this.#served.get(tenant)?.read(now) ?? 0;
    const at = this.#entries.findIndex((entry) =>
      comparePlaces(waiter, entry.waiter, readServed) < 0
    );
    return at < 0 ? this.#entries.length : at;
  }

  #computeExpectedAt(position: number, placeInMs: number, now: number): number {
    return now + placeInMs + position * this.#startMs;
  }

  /** Whether a tenant has its part of a line in which others wait too. */
  #exceedsTenantShare({ tenant }: T): boolean {
    const own = this.#entries
      .filter(({ waiter }) => waiter.tenant === tenant).length;
    if (own === this.#entries.length) return false;
    return own >= Math.max(minTenantPlaces, this.#maxLength * maxTenantShare);
  }

  /** Takes out those that were pushed beyond the bound or their time. */
  #displace(now: number): readonly T[] {
    const kept: LineEntry<T>[] = [];
    const displaced: T[] = [];
    for (const entry of this.#entries) {
      const { waiter, placeInMs } = entry;
      const at = this.#computeExpectedAt(kept.length, placeInMs, now);
      const fits = kept.length < this.#maxLength && at <= waiter.latestStartAt;
      if (fits) kept.push(entry);
      else displaced.push(waiter);
    }
    this.#entries = kept;
    return displaced;
  }

  #findServed(tenant: string): DecayingValue {
    const known = this.#served.get(tenant);
    if (known !== undefined) return known;
    const [oldest] = this.#served.keys();
    if (this.#served.size >= maxTenants && oldest !== undefined) {
      this.#served.delete(oldest);
    }
    const served = DecayingValue.create(servedDecayMs);
    this.#served.set(tenant, served);
    return served;
  }
}
