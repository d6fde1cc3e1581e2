/**
 * What this process knows of the keys whose calls only it may run.
 *
 * A record is made before the first byte of a call leaves and is kept for the
 * lifetime of keys, so a repeat finds it; nothing is forgotten early. When the
 * table is full, or a team holds its part of it, new keys are refused. Answers
 * are kept within a bound of bytes of their own: the oldest are dropped first,
 * after which a repeat learns that its call ran but not the answer.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { PlainAnswer } from "@almondcrank/endpoint/plain_service.ts";
import type { Refusal } from "../admission/refusal.ts";

/** Bounds of the table. */
export interface KeyLimits {
  /** Time for which a key is remembered after its call began. */
  readonly lifetimeMs: number;
  readonly maxKeys: number;
  /** Largest part of the table that one team may hold. */
  readonly maxTeamFraction: number;
  /** Sum of the kept answers' bodies. */
  readonly maxAnswerBytes: number;
  /** Largest body that is kept. */
  readonly maxBodyBytes: number;
}

export const defaultKeyLimits: KeyLimits = {
  lifetimeMs: 900_000,
  maxKeys: 50_000,
  maxTeamFraction: 0.5,
  maxAnswerBytes: 8_388_608,
  maxBodyBytes: 65_536,
};

/** How the one run of a key ended. */
export type KeyOutcome =
  | { readonly kind: "answered"; readonly answer: PlainAnswer }
  /** It ran; the answer was too large or is no longer kept. */
  | { readonly kind: "dropped" }
  /** It did not run and never will, or it may have run. */
  | { readonly kind: "refused"; readonly refusal: Refusal };

/** A key whose call has begun. */
export interface KeyRecord {
  /** Hash over the request; a repeat must have the same. */
  readonly fingerprint: string;
  /** Outcome; undefined while the call runs. */
  readonly outcome: KeyOutcome | undefined;
  /** Resolves with the outcome. */
  wait(): Promise<KeyOutcome>;
}

/** A key to begin. */
export interface NewKeyRecord {
  readonly id: string;
  readonly team: string;
  readonly fingerprint: string;
}

class Entry implements KeyRecord {
  readonly team: string;
  readonly fingerprint: string;
  expiresAt = Infinity;
  outcome: KeyOutcome | undefined;
  waiters: ((outcome: KeyOutcome) => void)[] = [];

  constructor(start: NewKeyRecord) {
    this.team = start.team;
    this.fingerprint = start.fingerprint;
  }

  wait(): Promise<KeyOutcome> {
    if (this.outcome !== undefined) return Promise.resolve(this.outcome);
    return new Promise((resolve) => this.waiters.push(resolve));
  }
}

/** Options of the table. */
export interface KeyRecordsOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly limits: KeyLimits;
}

/** Table of one process incarnation. */
export class KeyRecords {
  readonly #options: KeyRecordsOptions;
  readonly #entries = new Map<string, Entry>();
  readonly #teams = new Map<string, number>();
  /** Finished entries in the order in which they expire. */
  readonly #finished = new Map<string, Entry>();
  /** Entries with a kept answer, oldest first. */
  readonly #kept = new Map<string, Entry>();
  #keptBytes = 0;
  #idleWaiters: (() => void)[] = [];

  private constructor(options: KeyRecordsOptions) {
    this.#options = options;
  }

  static create(options: KeyRecordsOptions): KeyRecords {
    return new KeyRecords(options);
  }

  /** Number of records. */
  get size(): number {
    return this.#entries.size;
  }

  /** Bytes of kept bodies. */
  get keptBytes(): number {
    return this.#keptBytes;
  }

  /** Number of calls that have begun and not ended. */
  get running(): number {
    return this.#entries.size - this.#finished.size;
  }

  find(id: string): KeyRecord | undefined {
    return this.#entries.get(id);
  }

  /** Begins a key that has no record; false when there is no space for it. */
  add(start: NewKeyRecord): boolean {
    if (this.#entries.has(start.id)) throw new Error("the key has a record");
    this.#removeExpired();
    const { maxKeys, maxTeamFraction } = this.#options.limits;
    const held = this.#teams.get(start.team) ?? 0;
    if (this.#entries.size >= maxKeys || held >= maxKeys * maxTeamFraction) {
      return false;
    }
    this.#entries.set(start.id, new Entry(start));
    this.#teams.set(start.team, held + 1);
    this.#options.metrics.setGauge("keys_held", this.#entries.size);
    return true;
  }

  /** Records the outcome of a key that has begun and wakes its waiters. */
  setOutcome(id: string, outcome: KeyOutcome): void {
    const entry = this.#entries.get(id);
    if (entry === undefined || entry.outcome !== undefined) {
      throw new Error("the key has no running call");
    }
    const { clock, limits } = this.#options;
    entry.outcome = this.#addAnswer(id, entry, outcome);
    entry.expiresAt = clock.now() + limits.lifetimeMs;
    this.#finished.set(id, entry);
    // Those that wait get the answer itself, also when it is not kept.
    for (const resolve of entry.waiters) resolve(outcome);
    entry.waiters = [];
    if (this.running > 0) return;
    for (const resolve of this.#idleWaiters) resolve();
    this.#idleWaiters = [];
  }

  /** Resolves once no call runs. */
  waitIdle(): Promise<void> {
    if (this.running === 0) return Promise.resolve();
    return new Promise((resolve) => this.#idleWaiters.push(resolve));
  }

  /** Lists finished keys, newest first, for handing over. */
  *list(): Iterable<readonly [id: string, record: KeyRecord]> {
    yield* [...this.#finished].reverse();
  }

  #addAnswer(id: string, entry: Entry, outcome: KeyOutcome): KeyOutcome {
    if (outcome.kind !== "answered") return outcome;
    const { maxAnswerBytes, maxBodyBytes } = this.#options.limits;
    const bytes = outcome.answer.body.length;
    if (bytes > Math.min(maxBodyBytes, maxAnswerBytes)) {
      this.#options.metrics.count("key_answers_dropped_total", {
        reason: "too_large",
      });
      return { kind: "dropped" };
    }
    this.#keptBytes += bytes;
    this.#kept.set(id, entry);
    for (const [oldest, other] of this.#kept) {
      if (this.#keptBytes <= maxAnswerBytes) break;
      this.#removeAnswer(oldest, other);
    }
    return outcome;
  }

  #removeAnswer(id: string, entry: Entry): void {
    this.#removeBytes(id, entry);
    entry.outcome = { kind: "dropped" };
    this.#options.metrics.count("key_answers_dropped_total", {
      reason: "space",
    });
  }

  #removeBytes(id: string, entry: Entry): void {
    if (!this.#kept.delete(id) || entry.outcome?.kind !== "answered") return;
    this.#keptBytes -= entry.outcome.answer.body.length;
  }

  #removeExpired(): void {
    const now = this.#options.clock.now();
    for (const [id, entry] of this.#finished) {
      if (entry.expiresAt > now) return;
      this.#removeBytes(id, entry);
      this.#finished.delete(id);
      this.#entries.delete(id);
      const held = (this.#teams.get(entry.team) ?? 1) - 1;
      if (held > 0) this.#teams.set(entry.team, held);
      else this.#teams.delete(entry.team);
    }
  }
}
