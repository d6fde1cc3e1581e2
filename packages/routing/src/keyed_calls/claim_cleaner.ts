/**
 * Removes claims of keys that have expired.
 *
 * Claims lie in 256 buckets by their id. Each bucket belongs to the node that is
 * first for it by rendezvous among those alive; two nodes that both think so do
 * no harm, because a claim is removed only at the version that was listed. No
 * wall clock is compared: a claim is old when this process itself saw a store
 * version at least as new, long enough ago on its monotonic clock. A bucket is
 * listed once a round, so calls a second do not depend on the number of nodes.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import {
  createDisposable,
  type Disposable,
} from "@almondcrank/common/disposables.ts";
import {
  computeRendezvousOrder,
  type Hasher,
} from "@almondcrank/common/hashing.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { ObjectStore } from "@almondcrank/infrastructure/object_store.ts";
import { claimPrefix } from "./key_claims.ts";
import type { KeyOwner, KeyPeers } from "./key_peers.ts";

export const claimBucketCount = 256;

const defaultRoundMs = 300_000;
const maxRemovalsPerListing = 200;
const pauseBetweenRemovalsMs = 20;

/** The store's version when a bucket was listed. */
interface Mark {
  readonly at: number;
  readonly version: number;
}

/** Options of the cleaner. */
export interface ClaimCleanerOptions {
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly hasher: Hasher;
  readonly identity: KeyOwner;
  readonly peers: Pick<KeyPeers, "list">;
  readonly metrics: Metrics;
  readonly log: Log;
  /**
   * Time for which claims are kept after they were first listed. A call may
   * begin until its key's lifetime has passed and is remembered for as long
   * again, so this is at least twice the lifetime of keys.
   */
  readonly retainMs: number;
  /** Time in which each bucket is listed once. */
  readonly roundMs?: number;
}

/** Cleaner of one process. */
export class ClaimCleaner {
  readonly #options: ClaimCleanerOptions;
  readonly #roundMs: number;
  readonly #marks = new Map<string, Mark[]>();

  private constructor(options: ClaimCleanerOptions) {
    this.#options = options;
    this.#roundMs = options.roundMs ?? defaultRoundMs;
  }

  static create(options: ClaimCleanerOptions): ClaimCleaner {
    return new ClaimCleaner(options);
  }

  /** Cleans until disposed. */
  start(): Disposable {
    const stop = new AbortController();
    void this.#run(stop.signal);
    return createDisposable(() => stop.abort());
  }

  async #run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      for (let at = 0; at < claimBucketCount && !signal.aborted; at++) {
        await clock.sleep(this.#roundMs / claimBucketCount, signal);
        const bucket = at.toString(16).padStart(2, "0");
        if (!signal.aborted && this.#isOwn(bucket)) {
          await this.#runBucket(bucket, signal);
        }
      }
    }
  }

  #isOwn(bucket: string): boolean {
    const { hasher, identity, peers } = this.#options;
    const names = [identity, ...peers.list()].map(({ node }) => node);
    return computeRendezvousOrder(hasher, bucket, names)[0] === identity.node;
  }

  async #runBucket(bucket: string, signal: AbortSignal): Promise<void> {
    const { clock, log, metrics, store } = this.#options;
    const at = clock.now();
    const listed = await store.list(`${claimPrefix}${bucket}/`);
    metrics.count("claim_calls_total", { call: "list" });
    if (listed.isLeft()) {
      const error = listed.swap().unsafeCoerce();
      return log.debug("claims were not listed", { reason: error.message });
    }
    const { version, objects } = listed.unsafeCoerce();
    const oldest = this.#findOldVersion(bucket, at);
    const old = objects.filter((object) => object.version <= oldest)
      .slice(0, maxRemovalsPerListing);
    this.#addMark(bucket, { at, version });
    for (const object of old) {
      if (signal.aborted) return;
      metrics.count("claim_calls_total", { call: "remove" });
      const removed = await store.remove(object.key, object.version);
      if (removed.isLeft()) return;
      await clock.sleep(pauseBetweenRemovalsMs, signal);
    }
  }

  /** Newest version that was seen at least `keepMs` ago, 0 when there is none. */
  #findOldVersion(bucket: string, now: number): number {
    const marks = this.#marks.get(bucket) ?? [];
    const due = marks.filter(({ at }) => at <= now - this.#options.retainMs);
    return due.at(-1)?.version ?? 0;
  }

  /** Keeps the newest mark that is due and all later ones. */
  #addMark(bucket: string, mark: Mark): void {
    const marks = [...this.#marks.get(bucket) ?? [], mark];
    const dueAt = mark.at - this.#options.retainMs;
    while (marks[1] !== undefined && marks[1].at <= dueAt) marks.shift();
    this.#marks.set(bucket, marks);
  }
}
