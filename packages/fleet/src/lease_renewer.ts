/**
 * Keeps trying for the lease on one shard, and renews it while it is held.
 *
 * Only the first few members in the shard's rendezvous order try, so the calls
 * do not grow with the number of nodes: one write an interval by the holder, and
 * one read an interval by each other candidate. The interval is the same while
 * the store fails.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import {
  createDisposable,
  type Disposable,
  DisposableStore,
} from "@almondcrank/common/disposables.ts";
import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import {
  computeRendezvousOrder,
  type Hasher,
} from "@almondcrank/common/hashing.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { Random } from "@almondcrank/common/random.ts";
import type { Lease, LeaseStatus } from "./lease.ts";

/** Counter of attempts, labelled `shard` and `outcome`. */
export const leaseAttemptsCounter = "almondcrank_lease_attempts_total";

/** Length of leases, in milliseconds. */
export const defaultLeaseMs = 10_000;

const intervalMs = 3_000;
const intervalJitterMs = 300;
const candidates = 3;

/** What a holder needs. */
export interface LeaseRenewerOptions {
  readonly lease: Lease;
  readonly clock: Clock;
  readonly random: Random;
  readonly hasher: Hasher;
  readonly metrics: Metrics;
  readonly log: Log;
  /** Name of this node. */
  readonly node: string;
  /** Lists nodes that are alive, this one included. */
  readonly listNodes: () => readonly string[];
}

/** Task that acquires and renews one lease. */
export class LeaseRenewer implements Disposable {
  readonly #options: LeaseRenewerOptions;
  readonly #log: Log;
  readonly #lifetime = DisposableStore.create();
  readonly #acquired = Emitter.create<number>();
  readonly #lost = Emitter.create<void>();
  readonly #stopped = new AbortController();
  #task: Promise<void> = Promise.resolve();
  #fencing: number | undefined;

  private constructor(options: LeaseRenewerOptions) {
    this.#options = options;
    this.#log = options.log.createChild("fleet");
    this.#lifetime.register(createDisposable(() => this.#stopped.abort()));
    this.#lifetime.register(this.#acquired);
    this.#lifetime.register(this.#lost);
  }

  /** Starts trying at once. */
  static create(options: LeaseRenewerOptions): LeaseRenewer {
    const holder = new LeaseRenewer(options);
    holder.#task = holder.#run();
    return holder;
  }

  /** Fired with the fencing number when the lease is acquired. */
  readonly onAcquired: Event<number> = this.#acquired.event;
  /** Fired when the lease is found to be lost, lapsed or released. */
  readonly onLost: Event<void> = this.#lost.event;

  get lease(): Lease {
    return this.#options.lease;
  }

  /** Stops trying and releases the lease if it is held. */
  async stop(): Promise<void> {
    this.#stopped.abort();
    await this.#task;
    await this.#options.lease.release();
    this.#setFencing(undefined);
  }

  dispose(): void {
    this.#lifetime.dispose();
  }

  async #run(): Promise<void> {
    const { clock, random, lease } = this.#options;
    while (!this.#stopped.signal.aborted) {
      if (this.#fencing !== undefined || this.#isCandidate()) {
        this.#record(
          (await lease.renew()).caseOf<LeaseStatus["kind"] | "failed">(
            {
              Left: () => "failed",
              Right: ({ kind }) => kind,
            },
          ),
        );
      }
      const pauseMs = intervalMs + random.nextInt(intervalJitterMs);
      await clock.sleep(pauseMs, this.#stopped.signal);
    }
  }

  #isCandidate(): boolean {
    const { lease, hasher, node, listNodes } = this.#options;
    return computeRendezvousOrder(hasher, lease.shard, listNodes())
      .slice(0, candidates).includes(node);
  }

  #record(outcome: LeaseStatus["kind"] | "failed"): void {
    const { metrics, lease } = this.#options;
    const { shard } = lease;
    metrics.count(leaseAttemptsCounter, { shard, outcome });
    const fencing = lease.checkValid()
      .caseOf<number | undefined>({
        Left: () => undefined,
        Right: (fencing) => fencing,
      });
    this.#setFencing(fencing);
  }

  #setFencing(fencing: number | undefined): void {
    if (fencing === this.#fencing) return;
    const wasHeld = this.#fencing !== undefined;
    this.#fencing = fencing;
    const { shard } = this.#options.lease;
    if (wasHeld) {
      this.#log.warn(`lease on shard "${shard}" lost, orders stopped.`);
      this.#lost.fire();
    }
    if (fencing !== undefined) {
      this.#log.info(`lease on shard "${shard}" acquired.`, { fencing });
      this.#acquired.fire(fencing);
    }
  }
}
