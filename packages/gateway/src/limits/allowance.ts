/**
 * Allowances of tenants over all nodes, without a coordinator.
 *
 * Each node keeps one bucket a tenant for the whole system: it takes its own
 * admissions out at once and those of its peers when it hears of them. While a
 * node hears only some of its peers, it uses only their share: mostly what they
 * used of each tenant's allowance before the split, which both sides remember
 * alike, so that together they stay within it.
 */

import type { Tenant } from "@almondcrank/model/configuration.ts";

/** Verdict on one request. */
export type AllowanceVerdict =
  | { readonly kind: "admitted" }
  | { readonly kind: "over"; readonly retryAfterMs: number };

/** Peers that may live, and those of them that this node hears. */
export interface VisiblePeers {
  readonly known: readonly string[];
  readonly heard: readonly string[];
}

/** What a peer admitted. */
export interface PeerUse {
  readonly peer: string;
  readonly tenant: string;
  readonly cost: number;
}

/** What a request takes out. */
export interface Charge {
  readonly cost: number;
  /** Rank of the request, 0 first. */
  readonly rank: number;
}

interface Bucket {
  level: number;
  rate: number;
  burst: number;
  updatedAt: number;
  /** Cost of refused requests that were told to come back, less the refill. */
  awaited: number;
  /** Sum of this node's admissions since it started. */
  admitted: number;
  /** Part of it that the peers were told. */
  told: number;
  /** Part of the allowance that this node and those it hears may use. */
  share: number;
  /** Recent use of this node, and of its peers by name. */
  readonly ownUse: RecentUse;
  readonly peerUse: Map<string, RecentUse>;
}

/** Cost that fades with time. */
class RecentUse {
  #value = 0;
  #at = 0;

  add(cost: number, now: number): void {
    this.#value = this.read(now) + cost;
    this.#at = now;
  }

  read(now: number): number {
    return this.#value * Math.exp(-(now - this.#at) / useMemoryMs);
  }
}

/** Part of the contract's tolerance that a bucket may owe. */
const overdraftShare = 0.5;
/** Time over which use is remembered for the shares of a split system. */
const useMemoryMs = 8_000;
/** Use that each node is taken to have beside what is known, of the burst. */
const assumedUseShare = 0.02;
/** Part of a share that goes by use; the rest is even among the nodes. */
const useWeight = 0.75;
/** Longest time for which refused requests queue up to come back. */
const longestAwaitedMs = 20_000;
/** Part of the overdraft that is open to less urgent requests. */
const lessUrgentPart = 0.3;
/** Share of the burst below which a request counts as small. */
const smallShare = 0.005;

/** Buckets of all tenants. */
export class Allowances {
  readonly #buckets = new Map<string, Bucket>();
  readonly #overdraft: number;
  #visible: VisiblePeers = { known: [], heard: [] };
  #visibleMark = "|";

  private constructor(tolerance: number) {
    this.#overdraft = tolerance * overdraftShare;
  }

  /** @param tolerance Cost by which a tenant may exceed its allowance. */
  static create(tolerance: number): Allowances {
    return new Allowances(tolerance);
  }

  /**
   * Takes a request's cost out of the tenant's bucket, if it holds enough.
   *
   * Near its end the bucket is kept for the urgent and for the small.
   */
  take(tenant: Tenant, charge: Charge, now: number): AllowanceVerdict {
    if (tenant.ratePerSecond <= 0) return { kind: "admitted" };
    const { cost } = charge;
    const bucket = this.#refill(tenant, now);
    const isFavoured = charge.rank === 0 || cost < bucket.burst * smallShare;
    const part = isFavoured ? 1 : lessUrgentPart;
    const floor = -this.#overdraft * bucket.share * part;
    if (bucket.level - Math.min(cost, bucket.burst) >= floor) {
      bucket.level -= cost;
      bucket.admitted += cost;
      return { kind: "admitted" };
    }
    const missing = Math.min(cost, bucket.burst) + floor - bucket.level;
    const rate = bucket.rate * bucket.share;
    // Those who were refused before come first, so that all come back spread.
    const retryAfterMs = (missing + bucket.awaited) / rate * 1_000;
    bucket.awaited = Math.min(
      bucket.awaited + cost,
      rate * longestAwaitedMs / 1_000,
    );
    return { kind: "over", retryAfterMs };
  }

  /** Puts back what a request took that did not run. */
  refund(tenant: Tenant, cost: number): void {
    const bucket = this.#buckets.get(tenant.name);
    if (bucket === undefined) return;
    bucket.level = Math.min(bucket.burst, bucket.level + cost);
    bucket.admitted -= cost;
  }

  /** Takes out what a peer admitted since its last report. */
  applyPeer(
    { peer, tenant, cost }: PeerUse,
    now: number,
  ): void {
    const bucket = this.#buckets.get(tenant);
    if (bucket === undefined) return;
    this.#refillBucket(bucket, now);
    bucket.level -= cost;
    let use = bucket.peerUse.get(peer);
    if (use === undefined) {
      use = new RecentUse();
      bucket.peerUse.set(peer, use);
    }
    use.add(cost, now);
  }

  /** Lowers a bucket to the level that a longer-lived peer knows. */
  adoptLevel(tenant: string, level: number): void {
    const bucket = this.#buckets.get(tenant);
    if (bucket !== undefined) bucket.level = Math.min(bucket.level, level);
  }

  /** Sets the shares anew when other peers are heard than before. */
  setVisible(peers: VisiblePeers, now: number): void {
    const mark = `${peers.known.join()}|${peers.heard.join()}`;
    if (mark === this.#visibleMark) return;
    this.#visibleMark = mark;
    this.#visible = peers;
    for (const bucket of this.#buckets.values()) {
      this.#refillBucket(bucket, now);
      const share = this.#computeShare(bucket, now);
      if (share < bucket.share && bucket.level > 0) {
        bucket.level *= share / bucket.share;
      }
      bucket.share = share;
    }
  }

  /** Makes buckets known to peers' reports before a first request. */
  prepare(tenants: readonly Tenant[], now: number): void {
    for (const tenant of tenants) {
      if (tenant.ratePerSecond > 0) this.#refill(tenant, now);
    }
  }

  /**
   * Level and own admissions of each tenant, for the peers.
   *
   * Only what was told counts as use of this node, so that after a split both
   * sides compute with the same figures.
   */
  list(now: number): readonly (readonly [string, number, number])[] {
    return [...this.#buckets].map(([name, bucket]) => {
      this.#refillBucket(bucket, now);
      bucket.ownUse.add(bucket.admitted - bucket.told, now);
      bucket.told = bucket.admitted;
      return [name, Math.round(bucket.level), bucket.admitted];
    });
  }

  #computeShare(bucket: Bucket, now: number): number {
    const { known, heard } = this.#visible;
    const evenShare = (heard.length + 1) / (known.length + 1);
    if (evenShare >= 1) return 1;
    // Use that is not known yet is taken to be even.
    const assumed = bucket.burst * assumedUseShare;
    const readUse = (use: RecentUse | undefined): number =>
      assumed + (use?.read(now) ?? 0);
    const sum = (peers: readonly string[]): number =>
      peers.reduce(
        (total, peer) => total + readUse(bucket.peerUse.get(peer)),
        readUse(bucket.ownUse),
      );
    const useShare = sum(heard) / sum(known);
    return useWeight * useShare + (1 - useWeight) * evenShare;
  }

  #refill(tenant: Tenant, now: number): Bucket {
    const { name, ratePerSecond, burst } = tenant;
    let bucket = this.#buckets.get(name);
    if (bucket === undefined) {
      bucket = {
        level: burst,
        rate: ratePerSecond,
        burst,
        updatedAt: now,
        awaited: 0,
        admitted: 0,
        told: 0,
        share: 1,
        ownUse: new RecentUse(),
        peerUse: new Map(),
      };
      bucket.share = this.#computeShare(bucket, now);
      this.#buckets.set(name, bucket);
    }
    this.#refillBucket(bucket, now);
    bucket.rate = ratePerSecond;
    bucket.burst = burst;
    bucket.level = Math.min(bucket.level, burst * bucket.share);
    return bucket;
  }

  #refillBucket(bucket: Bucket, now: number): void {
    const elapsedSeconds = Math.max(0, now - bucket.updatedAt) / 1_000;
    const gained = elapsedSeconds * bucket.rate * bucket.share;
    const refilled = bucket.level + gained;
    bucket.awaited = Math.max(0, bucket.awaited - gained);
    bucket.level = Math.min(bucket.burst * bucket.share, refilled);
    bucket.updatedAt = now;
  }
}
