/**
 * Table of the idempotency keys that this process owns.
 *
 * A record is added before the first byte of a call is sent. It is kept for the
 * lifetime of keys, so that repeats find it, and is never evicted early. When
 * the table is full, or a team holds its maximum fraction of it, new keys are
 * refused. Answers have a separate limit in bytes: the oldest are dropped first,
 * after which a repeat learns that its call ran, but not the answer.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { PlainAnswer } from "@almondcrank/endpoint/plain_service.ts";
import type { Refusal } from "../admission/refusal.ts";

/** Limits of the table. */
export interface KeyLimits {
  /** Time for which a record is kept after its call ended, in milliseconds. */
  readonly lifetimeMs: number;
  readonly maxKeys: number;
  /** Largest fraction of the table that one team may hold. */
  readonly maxTeamFraction: number;
  /** Limit of the sum of the kept answers' bodies, in bytes. */
  readonly maxAnswerBytes: number;
  /** Largest body that is kept, in bytes. */
  readonly maxBodyBytes: number;
}

/** Limits used where the router's options set none. */
export const defaultKeyLimits: KeyLimits = {
  lifetimeMs: 900_000,
  maxKeys: 50_000,
  maxTeamFraction: 0.5,
  maxAnswerBytes: 8_388_608,
  maxBodyBytes: 65_536,
};

/** How the single call of a key ended. */
export type KeyOutcome =
  | { readonly kind: "answered"; readonly answer: PlainAnswer }
  /** The call ran; its answer was too large or is no longer kept. */
  | { readonly kind: "dropped" }
  /** The call did not run and never will, or it may have run. */
  | { readonly kind: "refused"; readonly refusal: Refusal };

/** A key whose call has begun. */
export interface KeyRecord {
  /** Hash of the request, which a repeat must match. */
  readonly fingerprint: string;
  /** Outcome; undefined while the call runs. */
  readonly outcome: KeyOutcome | undefined;
  /** Resolves with the outcome. */
  wait(): Promise<KeyOutcome>;
}

/** A key whose call is about to begin. */
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

  constructor(key: NewKeyRecord) {
    this.team = key.team;
    this.fingerprint = key.fingerprint;
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

/** Records of one process incarnation. */
export class KeyRecords {
  readonly #options: KeyRecordsOptions;
  readonly #entries = new Map<string, Entry>();
  readonly #keysByTeam = new Map<string, number>();
  /** Finished entries in the order in which they expire. */
  readonly #finished = new Map<string, Entry>();
  /** Entries whose answer is kept, oldest first. */
  readonly #answers = new Map<string, Entry>();
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

  /** Size of the kept bodies in bytes. */
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

  /**
   * Adds a record for a key that has none; false if the table is full or the
   * team holds its maximum.
   */
  add(key: NewKeyRecord): boolean {
    if (this.#entries.has(key.id)) throw new Error("the key has a record");
    this.#removeExpired();
    const { maxKeys, maxTeamFraction } = this.#options.limits;
    const held = this.#keysByTeam.get(key.team) ?? 0;
    if (this.#entries.size >= maxKeys || held >= maxKeys * maxTeamFraction) {
      return false;
    }
    this.#entries.set(key.id, new Entry(key));
    this.#keysByTeam.set(key.team, held + 1);
    this.#options.metrics.setGauge("keys_held", this.#entries.size);
    return true;
  }

  /** Records the outcome of a running call and wakes its waiters. */
  setOutcome(id: string, outcome: KeyOutcome): void {
    const entry = this.#entries.get(id);
    if (entry === undefined || entry.outcome !== undefined) {
      throw new Error("the key has no running call");
    }
    const { clock, limits } = this.#options;
    entry.outcome = this.#keepAnswer(id, entry, outcome);
    entry.expiresAt = clock.now() + limits.lifetimeMs;
    this.#finished.set(id, entry);
    // Waiters get the answer itself, even if it is not kept.
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

  /** Lists finished keys for the hand-over, newest first. */
  *list(): Iterable<readonly [id: string, record: KeyRecord]> {
    yield* [...this.#finished].reverse();
  }

  #keepAnswer(id: string, entry: Entry, outcome: KeyOutcome): KeyOutcome {
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
    this.#answers.set(id, entry);
    for (const [oldest, other] of this.#answers) {
      if (this.#keptBytes <= maxAnswerBytes) break;
      this.#removeAnswer(oldest, other);
    }
    return outcome;
  }

  #removeAnswer(id: string, entry: Entry): void {
    this.#releaseBytes(id, entry);
    entry.outcome = { kind: "dropped" };
    this.#options.metrics.count("key_answers_dropped_total", {
      reason: "space",
    });
  }

  #releaseBytes(id: string, entry: Entry): void {
    if (!this.#answers.delete(id) || entry.outcome?.kind !== "answered") return;
    this.#keptBytes -= entry.outcome.answer.body.length;
  }

  #removeExpired(): void {
    const now = this.#options.clock.now();
    for (const [id, entry] of this.#finished) {
      if (entry.expiresAt > now) return;
      this.#releaseBytes(id, entry);
      this.#finished.delete(id);
      this.#entries.delete(id);
      const held = (this.#keysByTeam.get(entry.team) ?? 1) - 1;
      if (held > 0) this.#keysByTeam.set(entry.team, held);
      else this.#keysByTeam.delete(entry.team);
    }
  }
}
