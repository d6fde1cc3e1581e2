/**
 * Allowances of tenants over all nodes, without a coordinator.
 *
 * Each node keeps one bucket a tenant for the whole system: it takes its own
 * admissions out at once and those of its peers when it hears of them. While a
 * node hears only some of its peers, it uses only their share: mostly what they
 * used of each tenant's allowance before the split, which both sides remember
 * alike, so that together they stay within it.
 *
 * All nodes see the same few tokens in a bucket that is nearly empty, so between
 * two reports each spends only its part of them. A request is admitted while the
 * bucket is above its floor, whatever the request costs: large ones would never
 * fit beside the small ones that take each token as it comes.
 */

import type { Tenant } from "@almondcrank/model/configuration.ts";

/** Verdict on one request. */
export type RateLimitVerdict =
  | { readonly kind: "admitted" }
  | { readonly kind: "over"; readonly retryAfterMs: number };

/** Peers that may live, and those of them that this node hears. */
export interface PeerVisibility {
  readonly known: readonly string[];
  readonly heard: readonly string[];
  /** Reports after which each peer has got one. */
  readonly reportsPerRound: number;
}

/** What a peer admitted. */
export interface PeerCharge {
  readonly peer: string;
  readonly tenant: string;
  readonly cost: number;
}

/** What a request takes out. */
export interface Charge {
  readonly cost: number;
  /** Rank of the request, 0 first. */
  readonly priority: number;
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
  /** Part of what is left that this node may spend between two reports. */
  ownPart: number;
  /** What this node may still spend before its peers know. */
  credit: number;
  /** Recent use of this node, and of its peers by name. */
  readonly ownUse: RecentUse;
  /** Recent cost of requests that this node admitted, told or not. */
  readonly taken: RecentUse;
  /** Recent cost of requests that this node refused. */
  readonly refused: RecentUse;
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
/** Part of the overdraft below which only favoured requests are admitted. */
const softPart = 0.3;
/**
 * Refused cost, relative to what was admitted, above which urgent requests are
 * no longer favoured: they would take everything.
 */
const scarceRatio = 1;
/** Share of the burst below which a request counts as small. */
const smallShare = 0.005;

/** Buckets of all tenants. */
export class TenantRateLimiter {
  readonly #buckets = new Map<string, Bucket>();
  readonly #overdraft: number;
  #visible: PeerVisibility = { known: [], heard: [], reportsPerRound: 1 };
  #visibleMark = "|";
  /** Reports composed since the credits were set. */
  #reports = 0;

  private constructor(tolerance: number) {
    this.#overdraft = tolerance * overdraftShare;
  }

  /** @param tolerance Cost by which a tenant may exceed its allowance. */
  static create(tolerance: number): TenantRateLimiter {
    return new TenantRateLimiter(tolerance);
  }

  /**
   * Takes a request's cost out of the tenant's bucket, if it holds enough.
   *
   * Near its end the bucket is kept for small requests, and for urgent ones as
   * long as the others still get a good part of it.
   */
  take(tenant: Tenant, charge: Charge, now: number): RateLimitVerdict {
    if (tenant.ratePerSecond <= 0) return { kind: "admitted" };
    const { cost } = charge;
    const bucket = this.#refill(tenant, now);
    const missing = this.#computeMissing(bucket, charge, now);
    if (missing <= 0) {
      bucket.level -= cost;
      bucket.credit -= cost;
      bucket.admitted += cost;
      bucket.taken.add(cost, now);
      return { kind: "admitted" };
    }
    bucket.refused.add(cost, now);
    const rate = bucket.rate * bucket.share;
    // Those who were refused before come first, so that all come back spread.
    const retryAfterMs = (missing + bucket.awaited) / rate * 1_000;
    bucket.awaited = Math.min(
      bucket.awaited + cost,
      rate * longestAwaitedMs / 1_000,
    );
    return { kind: "over", retryAfterMs };
  }

  /** Tokens that have to come back before a request is admitted; 0 if none. */
  #computeMissing(
    bucket: Bucket,
    { cost, priority: rank }: Charge,
    now: number,
  ): number {
    const lowest = -this.#overdraft * bucket.share;
    const charged = Math.min(cost, bucket.burst);
    const missingForCost = Math.max(0, lowest + charged - bucket.level);
    if (cost < bucket.burst * smallShare) return missingForCost;
    const isScarce =
      bucket.refused.read(now) > bucket.taken.read(now) * scarceRatio;
    const isFavoured = rank === 0 && !isScarce;
    const floor = isFavoured ? lowest : lowest * softPart;
    const missingForAny = bucket.level > floor ? 0 : floor - bucket.level + 1;
    // Where all peers hear of an admission soon, urgent ones need not wait for
    // a part that other nodes do not spend.
    const isBound = bucket.ownPart < 1 &&
      !(isFavoured && this.#visible.reportsPerRound <= 1);
    const isPartSpent = isBound && bucket.credit <= 0;
    const missingPart = isPartSpent ? 1 - bucket.credit : 0;
    return Math.max(missingForCost, missingForAny, missingPart);
  }

  /** What each tenant's bucket holds now. */
  listLevels(now: number): readonly (readonly [string, number])[] {
    return [...this.#buckets].map(([name, bucket]) => {
      this.#refillBucket(bucket, now);
      return [name, Math.round(bucket.level)];
    });
  }

  /** What a tenant's bucket held last; undefined before its first request. */
  readLevel(tenant: string): number | undefined {
    const level = this.#buckets.get(tenant)?.level;
    return level === undefined ? undefined : Math.round(level);
  }

  /** Puts back what a request took that did not run. */
  refund(tenant: Tenant, cost: number): void {
    const bucket = this.#buckets.get(tenant.name);
    if (bucket === undefined) return;
    bucket.level = Math.min(bucket.burst, bucket.level + cost);
    bucket.credit += cost;
    bucket.admitted -= cost;
  }

  /** Takes out what a peer admitted since its last report. */
  applyPeerCharge(
    { peer, tenant, cost }: PeerCharge,
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
  setPeers(peers: PeerVisibility, now: number): void {
    const mark =
      `${peers.known.join()}|${peers.heard.join()}|${peers.reportsPerRound}`;
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
      this.#setCredit(bucket, now);
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
  reportLevels(now: number): readonly (readonly [string, number, number])[] {
    this.#reports += 1;
    const isRoundOver = this.#reports >= this.#visible.reportsPerRound;
    if (isRoundOver) this.#reports = 0;
    return [...this.#buckets].map(([name, bucket]) => {
      this.#refillBucket(bucket, now);
      bucket.ownUse.add(bucket.admitted - bucket.told, now);
      bucket.told = bucket.admitted;
      if (isRoundOver) this.#setCredit(bucket, now);
      return [name, Math.round(bucket.level), bucket.admitted];
    });
  }

  /** Gives this node its part of what the bucket holds now. */
  #setCredit(bucket: Bucket, now: number): void {
    const { heard } = this.#visible;
    const evenPart = 1 / (heard.length + 1);
    const own = this.#readUse(bucket, bucket.ownUse, now);
    const useOfAll = this.#sumUse(bucket, heard, now);
    bucket.ownPart = (own / useOfAll + evenPart) / 2;
    const left = bucket.level + this.#overdraft * bucket.share * softPart;
    bucket.credit = Math.max(bucket.credit, left * bucket.ownPart);
  }

  #computeShare(bucket: Bucket, now: number): number {
    const { known, heard } = this.#visible;
    const evenShare = (heard.length + 1) / (known.length + 1);
    if (evenShare >= 1) return 1;
    const useShare = this.#sumUse(bucket, heard, now) /
      this.#sumUse(bucket, known, now);
    return useWeight * useShare + (1 - useWeight) * evenShare;
  }

  /** Recent use of this node and of some peers. */
  #sumUse(bucket: Bucket, peers: readonly string[], now: number): number {
    return peers.reduce(
      (sum, peer) => sum + this.#readUse(bucket, bucket.peerUse.get(peer), now),
      this.#readUse(bucket, bucket.ownUse, now),
    );
  }

  /** Use of one node; what is not known yet is taken to be even. */
  #readUse(
    { burst }: Bucket,
    use: RecentUse | undefined,
    now: number,
  ): number {
    return burst * assumedUseShare + (use?.read(now) ?? 0);
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
        ownPart: 1,
        credit: 0,
        ownUse: new RecentUse(),
        taken: new RecentUse(),
        refused: new RecentUse(),
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
    bucket.credit += gained * bucket.ownPart;
    bucket.level = Math.min(bucket.burst * bucket.share, refilled);
    bucket.updatedAt = now;
  }
}
