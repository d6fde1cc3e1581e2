/**
 * Distributed rate limits of tenants, without a coordinator.
 *
 * Each node keeps one token bucket per tenant for the whole system. It charges its
 * own admissions at once and those of its peers when they report them. In a
 * network partition the nodes of each side use only a share of the allowance. The
 * share depends mostly on their use before the partition, which both sides know
 * from the same reports, so together they stay within the allowance.
 *
 * All nodes see the same few tokens in a nearly empty bucket, so between two
 * reports each spends only its part of them, its credit. A request is admitted
 * while the bucket is above a floor, whatever the request costs. Otherwise large
 * requests would starve, as small ones take each token as soon as it is refilled.
 */

import { DecayingValue } from "@almondcrank/common/decaying_value.ts";
import type { Tenant } from "@almondcrank/model/configuration.ts";

/** Outcome of the rate limit check of one request. */
export type RateLimitVerdict =
  | { readonly kind: "admitted" }
  | { readonly kind: "over"; readonly retryAfterMs: number };

/** Names of the peers that may be running, and of those this node hears from. */
export interface PeerVisibility {
  readonly known: readonly string[];
  readonly heard: readonly string[];
  /** Number of reports that this node sends until every peer has received one. */
  readonly reportsPerRound: number;
}

/** Cost that a peer admitted for a tenant since its last report. */
export interface PeerCharge {
  readonly peer: string;
  readonly tenant: string;
  readonly cost: number;
}

/** Charge of one request. */
export interface Charge {
  /** Cost in the tenant's unit: tokens or requests. */
  readonly cost: number;
  /** Priority of the request; 0 is the highest. */
  readonly priority: number;
}

/** Bucket of one tenant. Amounts are in the tenant's unit. */
interface Bucket {
  /** Amount left; below 0 when more was admitted. */
  level: number;
  /** Refill per second of the whole system. */
  rate: number;
  burst: number;
  updatedAt: number;
  /** Cost of refused requests that are expected to retry, less the refill. */
  pendingRetryCost: number;
  /** Sum of this node's admissions since it started. */
  admitted: number;
  /** Part of `admitted` that the peers know. */
  reported: number;
  /** Share of the allowance that this node and the peers it hears from may use. */
  share: number;
  /** Share of the level that this node may spend between two reports. */
  creditShare: number;
  /** Cost that this node may still admit before the next report. */
  credit: number;
  /** Recent cost that this node admitted and reported. */
  readonly ownUse: DecayingValue;
  /** Recent cost that this node admitted, reported or not. */
  readonly admittedCost: DecayingValue;
  /** Recent cost that this node refused. */
  readonly refusedCost: DecayingValue;
  /** Recent cost that each peer reported, by the peer's name. */
  readonly peerUse: Map<string, DecayingValue>;
}

/** Share of the contract's tolerance by which a bucket may be overdrawn. */
const overdraftShare = 0.5;
/** Time in which recent use decays to 1/e. */
const useDecayMs = 8_000;
/** Use added to the known use of each node, as a share of the burst. */
const assumedUseShare = 0.02;
/** Weight of recent use in a partition's share; the rest is even among the nodes. */
const useWeight = 0.75;
/** Longest time over which the retries of refused requests are spread. */
const maxRetrySpreadMs = 20_000;
/** Share of the overdraft that is open to requests without preference. */
const normalOverdraftShare = 0.3;
/**
 * Ratio of refused to admitted cost above which requests of the highest priority
 * lose their preference, since they would take the whole allowance.
 */
const contentionRatio = 1;
/** Share of the burst below which a request counts as small. */
const smallCostShare = 0.005;

/** Token buckets of all tenants. Times are monotonic, in milliseconds. */
export class TenantRateLimiter {
  readonly #buckets = new Map<string, Bucket>();
  readonly #overdraft: number;
  #peers: PeerVisibility = { known: [], heard: [], reportsPerRound: 1 };
  #peersKey = "|";
  /** Reports since the credits were set. */
  #reportsInRound = 0;

  private constructor(tolerance: number) {
    this.#overdraft = tolerance * overdraftShare;
  }

  /** @param tolerance Cost by which a tenant may exceed its allowance in a window. */
  static create(tolerance: number): TenantRateLimiter {
    return new TenantRateLimiter(tolerance);
  }

  /**
   * Charges a request to the tenant's bucket, or refuses it if too little is left.
   *
   * A nearly empty bucket admits only small requests, and those of the highest
   * priority as long as the others still get a fair part.
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
      bucket.admittedCost.add(cost, now);
      return { kind: "admitted" };
    }
    bucket.refusedCost.add(cost, now);
    const rate = bucket.rate * bucket.share;
    // The retry comes after those of earlier refusals, so that retries are spread.
    const retryAfterMs = (missing + bucket.pendingRetryCost) / rate * 1_000;
    bucket.pendingRetryCost = Math.min(
      bucket.pendingRetryCost + cost,
      rate * maxRetrySpreadMs / 1_000,
    );
    return { kind: "over", retryAfterMs };
  }

  /** Computes the refill needed before a request is admitted; 0 or less if none. */
  #computeMissing(
    bucket: Bucket,
    { cost, priority }: Charge,
    now: number,
  ): number {
    const minLevel = -this.#overdraft * bucket.share;
    const cappedCost = Math.min(cost, bucket.burst);
    const missingForCost = Math.max(0, minLevel + cappedCost - bucket.level);
    if (cost < bucket.burst * smallCostShare) return missingForCost;
    const isContended = bucket.refusedCost.read(now) >
      bucket.admittedCost.read(now) * contentionRatio;
    const isPreferred = priority === 0 && !isContended;
    const floor = isPreferred ? minLevel : minLevel * normalOverdraftShare;
    const missingForFloor = bucket.level > floor ? 0 : floor - bucket.level + 1;
    // If each report reaches all peers, they learn of an admission soon, so preferred
    // requests may spend the part that other nodes leave unused.
    const needsCredit = bucket.creditShare < 1 &&
      !(isPreferred && this.#peers.reportsPerRound <= 1);
    const isCreditSpent = needsCredit && bucket.credit <= 0;
    const missingCredit = isCreditSpent ? 1 - bucket.credit : 0;
    return Math.max(missingForCost, missingForFloor, missingCredit);
  }

  /** Lists the amount left in each tenant's bucket, rounded. */
  listLevels(now: number): readonly (readonly [string, number])[] {
    return [...this.#buckets].map(([name, bucket]) => {
      this.#refillBucket(bucket, now);
      return [name, Math.round(bucket.level)];
    });
  }

  /** Reads a bucket's amount at its last update; undefined if it does not exist. */
  readLevel(tenant: string): number | undefined {
    const level = this.#buckets.get(tenant)?.level;
    return level === undefined ? undefined : Math.round(level);
  }

  /** Refunds the charge of a request that did not run. */
  refund(tenant: Tenant, cost: number): void {
    const bucket = this.#buckets.get(tenant.name);
    if (bucket === undefined) return;
    bucket.level = Math.min(bucket.burst, bucket.level + cost);
    bucket.credit += cost;
    bucket.admitted -= cost;
  }

  /** Charges what a peer admitted since its last report. */
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
      use = DecayingValue.create(useDecayMs);
      bucket.peerUse.set(peer, use);
    }
    use.add(cost, now);
  }

  /** Lowers a bucket to the level that a longer-running peer reported. */
  adoptLevel(tenant: string, level: number): void {
    const bucket = this.#buckets.get(tenant);
    if (bucket !== undefined) bucket.level = Math.min(bucket.level, level);
  }

  /** Sets the peers, and recomputes the shares if they changed. */
  setPeers(peers: PeerVisibility, now: number): void {
    const peersKey =
      `${peers.known.join()}|${peers.heard.join()}|${peers.reportsPerRound}`;
    if (peersKey === this.#peersKey) return;
    this.#peersKey = peersKey;
    this.#peers = peers;
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

  /** Creates buckets, so that peers' reports are charged before a first request. */
  prepare(tenants: readonly Tenant[], now: number): void {
    for (const tenant of tenants) {
      if (tenant.ratePerSecond > 0) this.#refill(tenant, now);
    }
  }

  /**
   * Lists the name, level and own admissions of each tenant for a report to the
   * peers, and marks the admissions as reported.
   *
   * Only reported cost counts as this node's use, so that in a partition both sides
   * compute with the same figures.
   */
  reportLevels(now: number): readonly (readonly [string, number, number])[] {
    this.#reportsInRound += 1;
    const isRoundOver = this.#reportsInRound >= this.#peers.reportsPerRound;
    if (isRoundOver) this.#reportsInRound = 0;
    return [...this.#buckets].map(([name, bucket]) => {
      this.#refillBucket(bucket, now);
      bucket.ownUse.add(bucket.admitted - bucket.reported, now);
      bucket.reported = bucket.admitted;
      if (isRoundOver) this.#setCredit(bucket, now);
      return [name, Math.round(bucket.level), bucket.admitted];
    });
  }

  /** Sets this node's credit to its part of the level. */
  #setCredit(bucket: Bucket, now: number): void {
    const { heard } = this.#peers;
    const evenShare = 1 / (heard.length + 1);
    const own = this.#readUse(bucket, bucket.ownUse, now);
    const heardUse = this.#sumUse(bucket, heard, now);
    bucket.creditShare = (own / heardUse + evenShare) / 2;
    const left = bucket.level +
      this.#overdraft * bucket.share * normalOverdraftShare;
    bucket.credit = Math.max(bucket.credit, left * bucket.creditShare);
  }

  #computeShare(bucket: Bucket, now: number): number {
    const { known, heard } = this.#peers;
    const evenShare = (heard.length + 1) / (known.length + 1);
    if (evenShare >= 1) return 1;
    const useShare = this.#sumUse(bucket, heard, now) /
      this.#sumUse(bucket, known, now);
    return useWeight * useShare + (1 - useWeight) * evenShare;
  }

  /** Sums the recent use of this node and of some peers. */
  #sumUse(bucket: Bucket, peers: readonly string[], now: number): number {
    return peers.reduce(
      (sum, peer) => sum + this.#readUse(bucket, bucket.peerUse.get(peer), now),
      this.#readUse(bucket, bucket.ownUse, now),
    );
  }

  /** Reads the use of one node, plus a fixed amount for use not yet reported. */
  #readUse(
    { burst }: Bucket,
    use: DecayingValue | undefined,
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
        pendingRetryCost: 0,
        admitted: 0,
        reported: 0,
        share: 1,
        creditShare: 1,
        credit: 0,
        ownUse: DecayingValue.create(useDecayMs),
        admittedCost: DecayingValue.create(useDecayMs),
        refusedCost: DecayingValue.create(useDecayMs),
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
    const refillAmount = elapsedSeconds * bucket.rate * bucket.share;
    const refilled = bucket.level + refillAmount;
    bucket.pendingRetryCost = Math.max(
      0,
      bucket.pendingRetryCost - refillAmount,
    );
    bucket.credit += refillAmount * bucket.creditShare;
    bucket.level = Math.min(bucket.burst * bucket.share, refilled);
    bucket.updatedAt = now;
  }
}
