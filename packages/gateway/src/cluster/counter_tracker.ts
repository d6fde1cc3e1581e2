/**
 * Turns cumulative counters that several sources report alike into the changes
 * since the last report.
 *
 * The relays of a zone each report the sums of that zone, counted from different
 * starts. One of them is followed. When it falls silent, another one is followed
 * from what that one had reported when the first was last heard. So nothing is lost,
 * and at most what changed between two reports is counted twice. A relay that still
 * reports but hears hardly anybody counts much less than another one, which is then
 * followed in its place.
 */

import { DecayingValue } from "@almondcrank/common/decaying_value.ts";
import { type Counters, subtractCounters } from "./report_counters.ts";

/** Time without a report after which another source is followed. */
const sourceTimeoutMs = 1_200;
/** Time over which sources are compared by how much they count. */
const progressDecayMs = 1_500;
/** How many times as much another source counts if the followed one hears too few. */
const behindFactor = 2.5;
/** Age beyond which a source's last report says nothing of the present. */
const maxBaseAgeMs = 800;

interface Source {
  latest: Counters;
  /** Counters at the time of the followed source's last report. */
  base: Counters;
  /** Time of the last report. */
  at: number;
  /** What it counted of late, all counters together. */
  readonly progress: DecayingValue;
}

/** Tracker of one group of sources. Times are monotonic, in milliseconds. */
export class CounterTracker {
  readonly #sources = new Map<string, Source>();
  #followed: string | undefined;
  #followedAt = -Infinity;

  static create(): CounterTracker {
    return new CounterTracker();
  }

  /** Whether the source's reports are the ones that count. */
  isFollowed(source: string): boolean {
    return this.#followed === source;
  }

  /**
   * Applies a report.
   *
   * @returns The changes since the last report that counted; undefined if the
   * report does not count.
   */
  apply(source: string, counters: Counters, now: number): Counters | undefined {
    const known = this.#sources.get(source);
    const state = known ?? createSource(counters, now);
    const progress = sumCounters(counters) - sumCounters(state.latest);
    state.progress.add(Math.max(0, progress), now);
    // A source that was silent itself counted what the followed one has reported.
    if (this.#followedAt - state.at > maxBaseAgeMs) state.base = counters;
    state.latest = counters;
    state.at = now;
    if (known === undefined) this.#sources.set(source, state);
    const followed = this.#followed;
    const isOther = followed !== undefined && followed !== source;
    const isFollowedHeard = now - this.#followedAt < sourceTimeoutMs;
    if (isOther && isFollowedHeard && !this.#isBehind(followed, state, now)) {
      return undefined;
    }
    const changes = subtractCounters(counters, state.base);
    // The next report of a source that fell silent is a first one again.
    if (isOther && !isFollowedHeard) this.#sources.delete(followed);
    this.#followed = source;
    this.#followedAt = now;
    for (const other of this.#sources.values()) other.base = other.latest;
    return changes;
  }
  /** Whether the followed source counts so much less that it hears too few. */
  #isBehind(followed: string, other: Source, now: number): boolean {
    const counted = this.#sources.get(followed)?.progress.read(now) ?? 0;
    return other.progress.read(now) > counted * behindFactor;
  }
}

function createSource(counters: Counters, now: number): Source {
  return {
    latest: counters,
    base: counters,
    at: now,
    progress: DecayingValue.create(progressDecayMs),
  };
}

function sumCounters(counters: Counters): number {
  let sum = 0;
  for (const value of counters.values()) sum += value;
  return sum;
}
