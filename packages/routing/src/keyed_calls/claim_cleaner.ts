/**
 * Removes the claims of expired keys.
 *
 * Claims are split into 256 buckets by id. Each bucket is assigned to one of the
 * live nodes by rendezvous hashing. If two nodes both consider a bucket theirs,
 * no harm is done, because a claim is removed only at the version that was
 * listed. Wall clocks are not compared: a claim has expired if this process saw
 * a store version at least as new, long enough ago on its monotonic clock. A
 * bucket is listed once per round, so the call rate does not depend on the
 * number of nodes.
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

/** Number of buckets: the values of the first two hex digits of an id. */
export const claimBucketCount = 256;

const defaultRoundMs = 300_000;
const maxRemovalsPerListing = 200;
const pauseBetweenRemovalsMs = 20;

/** The store's version at a monotonic time in milliseconds. */
interface VersionSample {
  readonly at: number;
  readonly version: number;
}

/** Options of `ClaimCleaner`. */
export interface ClaimCleanerOptions {
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly hasher: Hasher;
  readonly identity: KeyOwner;
  readonly peers: Pick<KeyPeers, "list">;
  readonly metrics: Metrics;
  readonly log: Log;
  /**
   * Time in milliseconds for which claims are kept after they were first listed.
   * A call may begin until the end of its key's lifetime, and its record is kept
   * for the same time again, so this is at least twice the lifetime of keys.
   */
  readonly retainMs: number;
  /** Time in milliseconds in which each bucket is listed once. */
  readonly roundMs?: number;
}

/** Removes expired claims on behalf of one process. */
export class ClaimCleaner {
  readonly #options: ClaimCleanerOptions;
  readonly #roundMs: number;
  readonly #samples = new Map<string, VersionSample[]>();

  private constructor(options: ClaimCleanerOptions) {
    this.#options = options;
    this.#roundMs = options.roundMs ?? defaultRoundMs;
  }

  static create(options: ClaimCleanerOptions): ClaimCleaner {
    return new ClaimCleaner(options);
  }

  /** Starts to remove expired claims; stops when the result is disposed. */
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
        if (!signal.aborted && this.#isAssigned(bucket)) {
          await this.#removeExpired(bucket, signal);
        }
      }
    }
  }

  #isAssigned(bucket: string): boolean {
    const { hasher, identity, peers } = this.#options;
    const names = [identity, ...peers.list()].map(({ node }) => node);
    return computeRendezvousOrder(hasher, bucket, names)[0] === identity.node;
  }

  async #removeExpired(bucket: string, signal: AbortSignal): Promise<void> {
    const { clock, log, metrics, store } = this.#options;
    const at = clock.now();
    const listed = await store.list(`${claimPrefix}${bucket}/`);
    metrics.count("claim_calls_total", { call: "list" });
    if (listed.isLeft()) {
      const error = listed.swap().unsafeCoerce();
      return log.debug(
        "claims could not be listed; the next round tries again",
        { reason: error.message },
      );
    }
    const { version, objects } = listed.unsafeCoerce();
    const expiredVersion = this.#findExpiredVersion(bucket, at);
    const expired = objects.filter((object) => object.version <= expiredVersion)
      .slice(0, maxRemovalsPerListing);
    this.#recordSample(bucket, { at, version });
    for (const object of expired) {
      if (signal.aborted) return;
      metrics.count("claim_calls_total", { call: "remove" });
      const removed = await store.remove(object.key, object.version);
      if (removed.isLeft()) return;
      await clock.sleep(pauseBetweenRemovalsMs, signal);
    }
  }

  /** Finds the newest version seen at least `retainMs` ago; 0 if none. */
  #findExpiredVersion(bucket: string, now: number): number {
    const samples = this.#samples.get(bucket) ?? [];
    const due = samples.filter(({ at }) => at <= now - this.#options.retainMs);
    return due.at(-1)?.version ?? 0;
  }

  /** Adds a sample; keeps the newest one `retainMs` old and all later ones. */
  #recordSample(bucket: string, sample: VersionSample): void {
    const samples = [...this.#samples.get(bucket) ?? [], sample];
    const dueAt = sample.at - this.#options.retainMs;
    while (samples[1] !== undefined && samples[1].at <= dueAt) samples.shift();
    this.#samples.set(bucket, samples);
  }
}
