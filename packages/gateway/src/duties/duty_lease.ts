/**
 * Lease on the duties that one node performs at a time.
 *
 * While a node announces that it holds the lease, the others do not try to acquire
 * it, to spare the store. When the holder falls silent the first few try in order of
 * rank, and the next ones only if none of these succeeds. A restarted process waits one lease duration first. Otherwise a node that performed
 * a duty right before its restart could act again right after another holder. For
 * the same reason nobody else acquires the lease right after a restore of the store.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import { Lease } from "@almondcrank/fleet/lease.ts";
import type { ObjectStore } from "@almondcrank/infrastructure/object_store.ts";
import type { DutyProof } from "@almondcrank/platform/platform_cloud.ts";
import type { MemberTable } from "../cluster/member_table.ts";

const shard = "duties";
const pollMs = 100;
/** Least delay after a failed attempt to acquire the lease. */
const acquireRetryMs = 350;
/** Longest delay after attempts that the store did not answer. */
const maxAcquireRetryMs = 1_500;
/** Nodes that try to acquire the lease together, by rank. */
const candidates = 3;
/** Additional silence that a candidate waits for per rank. */
const rankStepMs = 350;
/** The same for the next candidates, besides the time that a lease takes to lapse. */
const nextCandidatesMs = 1_500;
/** Least remaining lease time at which a call may be sent. */
const callMarginMs = 900;

/** Options of a duty lease. */
export interface DutyLeaseOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly members: MemberTable;
  readonly node: string;
  readonly incarnation: string;
  readonly leaseMs: number;
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean;
  /** Whether this node may acquire the lease. */
  readonly mayHold: () => boolean;
  /**
   * Reads the monotonic time at which this node learned that the store came back
   * from an older copy; -Infinity if it has not.
   */
  readonly readRestoredAt: () => number;
}

/** Duty lease as one node sees it. */
export class DutyLease implements Disposable {
  readonly #options: DutyLeaseOptions;
  readonly #lease: Lease;
  readonly #stopped = new AbortController();
  readonly #startedAt: number;
  #renewedAt = -Infinity;
  #silentSince: number | undefined;
  #retryMs = acquireRetryMs;
  #lastToken: number | undefined;

  private constructor(options: DutyLeaseOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
    this.#lease = Lease.create({
      store: options.store,
      clock: options.clock,
      shard,
      holder: `${options.node}/${options.incarnation}`,
      durationMs: options.leaseMs,
      readKnownFencing: () => options.members.highestFencingToken,
    });
  }

  /** Creates the lease and starts trying to acquire it. */
  static create(options: DutyLeaseOptions): DutyLease {
    const lease = new DutyLease(options);
    void lease.#run();
    return lease;
  }

  /** Fencing token while the lease is held. */
  get fencingToken(): number | undefined {
    return this.#lease.validFencing;
  }

  /** Reads the proof for a call that is sent now; undefined if none may be sent. */
  readProof(): DutyProof | undefined {
    const fencingToken = this.fencingToken;
    if (fencingToken === undefined || !this.#hasTimeForCall()) return undefined;
    return {
      holder: this.#options.node,
      fencingToken,
      isValid: () => this.fencingToken === fencingToken,
    };
  }

  /** Stops renewing and releases the lease. */
  async release(): Promise<void> {
    this.#stopped.abort();
    await this.#lease.release();
  }

  dispose(): void {
    this.#stopped.abort();
  }

  #hasTimeForCall(): boolean {
    const { clock, leaseMs } = this.#options;
    return clock.now() - this.#renewedAt < leaseMs - callMarginMs;
  }

  async #run(): Promise<void> {
    const { clock } = this.#options;
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      const pauseMs = await this.#step();
      await clock.sleep(pauseMs, signal);
    }
  }

  async #step(): Promise<number> {
    const { clock, leaseMs, members } = this.#options;
    if (this.fencingToken !== undefined) {
      const now = clock.now();
      const dueMs = this.#renewedAt + leaseMs / 3 - now;
      // An isolated holder lets the lease lapse, so that a node that sees the
      // others takes over. A release could overtake a call on its way.
      if (dueMs <= 0 && !members.isIsolated(now)) await this.#renew();
      return pollMs;
    }
    this.#recordLoss();
    if (!this.#isAcquireDue()) return pollMs;
    await this.#renew();
    return this.fencingToken === undefined ? this.#computeRetryMs() : pollMs;
  }

  /** Computes the pause until the lease may be free; longer while calls fail. */
  #computeRetryMs(): number {
    const freeInMs = this.#lease.freeAt - this.#options.clock.now();
    if (freeInMs > 0) return Math.max(acquireRetryMs, freeInMs);
    this.#retryMs = Math.min(maxAcquireRetryMs, this.#retryMs * 2);
    return this.#retryMs;
  }

  async #renew(): Promise<void> {
    const sentAt = this.#options.clock.now();
    await this.#lease.renew();
    const fencingToken = this.fencingToken;
    if (fencingToken === undefined) return;
    this.#renewedAt = sentAt;
    this.#retryMs = acquireRetryMs;
    if (fencingToken === this.#lastToken) return;
    this.#lastToken = fencingToken;
    this.#options.log.info("duties taken over.", { fencing: fencingToken });
  }

  #recordLoss(): void {
    if (this.#lastToken === undefined) return;
    this.#options.log.warn("duties lost, calls stopped.", {
      fencing: this.#lastToken,
    });
    this.#lastToken = undefined;
  }

  #isAcquireDue(): boolean {
    const { clock, members, leaseMs, isFirstStart, mayHold, readRestoredAt } =
      this.#options;
    const now = clock.now();
    if (!mayHold()) return false;
    if (!isFirstStart && now - this.#startedAt < leaseMs) return false;
    // The restored store may not know of a lease that is still valid.
    if (now - readRestoredAt() < leaseMs) return false;
    // A node that hears from nobody would take itself for the first in rank, and
    // report only its own usage.
    if (members.isIsolated(now)) return false;
    if (members.findDutyHolder(now) !== undefined) {
      this.#silentSince = undefined;
      return false;
    }
    this.#silentSince ??= now;
    const rank = members.readRank(now, false);
    const waitMs = rank % candidates * rankStepMs +
      Math.floor(rank / candidates) * (leaseMs + nextCandidatesMs);
    return now - this.#silentSince >= waitMs;
  }
}
