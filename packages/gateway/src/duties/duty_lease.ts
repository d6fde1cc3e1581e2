/**
 * Holds the lease on the duties that one node does at a time.
 *
 * While some node says that it holds the lease, the others leave the store in
 * peace. When it falls silent they try, those first in order soonest. A process
 * that has just started waits one lease time, so that a node which did a duty
 * right before its restart does not act again right after another one.
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
const tryPauseMs = 350;
/** Further silence that each later node in order waits for. */
const rankStepMs = 350;
/** Least time left on the lease for a call to be sent. */
const callMarginMs = 900;

/** What the lease needs. */
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
  /** Whether this node may take the lease. */
  readonly mayHold: () => boolean;
}

/** Lease of one node. */
export class DutyLease implements Disposable {
  readonly #options: DutyLeaseOptions;
  readonly #lease: Lease;
  readonly #stopped = new AbortController();
  readonly #startedAt: number;
  #renewedAt = -Infinity;
  #silentSince: number | undefined;
  #fencing: number | undefined;

  private constructor(options: DutyLeaseOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
    this.#lease = Lease.create({
      store: options.store,
      clock: options.clock,
      shard,
      holder: `${options.node}/${options.incarnation}`,
      durationMs: options.leaseMs,
    });
  }

  /** Starts trying at once. */
  static create(options: DutyLeaseOptions): DutyLease {
    const lease = new DutyLease(options);
    void lease.#run();
    return lease;
  }

  /** Fencing number while the lease is held. */
  get fencingToken(): number | undefined {
    return this.#lease.checkValid().caseOf<number | undefined>({
      Left: () => undefined,
      Right: (fencing) => fencing,
    });
  }

  /** Proof for a call that is sent now; undefined when none may be sent. */
  readProof(): DutyProof | undefined {
    const fencing = this.fencingToken;
    if (fencing === undefined || !this.#hasTimeForCall()) return undefined;
    return { holder: this.#options.node, fencingToken: fencing };
  }

  /** Gives the lease up. */
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
    const { clock, leaseMs } = this.#options;
    if (this.fencingToken !== undefined) {
      const dueMs = this.#renewedAt + leaseMs / 3 - clock.now();
      if (dueMs <= 0) await this.#renew();
      return pollMs;
    }
    this.#recordLoss();
    if (!this.#isMyTurn()) return pollMs;
    await this.#renew();
    return this.fencingToken === undefined ? tryPauseMs : pollMs;
  }

  async #renew(): Promise<void> {
    const sentAt = this.#options.clock.now();
    await this.#lease.renew();
    const fencing = this.fencingToken;
    if (fencing === undefined) return;
    this.#renewedAt = sentAt;
    if (fencing === this.#fencing) return;
    this.#fencing = fencing;
    this.#options.log.info("duties taken over.", { fencing });
  }

  #recordLoss(): void {
    if (this.#fencing === undefined) return;
    this.#options.log.warn("duties lost, calls stopped.", {
      fencing: this.#fencing,
    });
    this.#fencing = undefined;
  }

  #isMyTurn(): boolean {
    const { clock, members, leaseMs, isFirstStart, mayHold } = this.#options;
    const now = clock.now();
    if (!mayHold()) return false;
    if (!isFirstStart && now - this.#startedAt < leaseMs) return false;
    if (members.findDutyHolder(now) !== undefined) {
      this.#silentSince = undefined;
      return false;
    }
    this.#silentSince ??= now;
    return now - this.#silentSince >= members.readRank(now) * rankStepMs;
  }
}
