/**
 * Allowances of tenants over all nodes, without a coordinator.
 *
 * Each node keeps one bucket a tenant for the whole system: it takes its own
 * admissions out at once and those of its peers when it hears of them. A node
 * that hears only some of its peers refills only their share, so the parts of a
 * split system together stay within the allowance.
 */

import type { Tenant } from "@almondcrank/model/configuration.ts";

/** Verdict on one request. */
export type AllowanceVerdict =
  | { readonly kind: "admitted" }
  | { readonly kind: "over"; readonly retryAfterMs: number };

/** How many nodes live and how many of them this node hears. */
export interface VisibleNodes {
  readonly known: number;
  readonly heard: number;
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
  /** Sum of this node's admissions since it started. */
  admitted: number;
}

/** Part of the contract's tolerance that a bucket may owe. */
const overdraftShare = 0.5;
/** Part of the overdraft that is open to less urgent requests. */
const lessUrgentPart = 0.3;
/** Share of the burst below which a request counts as small. */
const smallShare = 0.005;

/** Buckets of all tenants. */
export class Allowances {
  readonly #buckets = new Map<string, Bucket>();
  readonly #overdraft: number;
  #share = 1;

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
    const floor = -this.#overdraft * this.#share * part;
    if (bucket.level - Math.min(cost, bucket.burst) >= floor) {
      bucket.level -= cost;
      bucket.admitted += cost;
      return { kind: "admitted" };
    }
    const missing = Math.min(cost, bucket.burst) + floor - bucket.level;
    const rate = bucket.rate * this.#share;
    return { kind: "over", retryAfterMs: missing / rate * 1_000 };
  }

  /** Puts back what a request took that did not run. */
  refund(tenant: Tenant, cost: number): void {
    const bucket = this.#buckets.get(tenant.name);
    if (bucket === undefined) return;
    bucket.level = Math.min(bucket.burst, bucket.level + cost);
    bucket.admitted -= cost;
  }

  /** Takes out what a peer admitted since its last report. */
  applyPeer(tenant: string, cost: number, now: number): void {
    const bucket = this.#buckets.get(tenant);
    if (bucket === undefined) return;
    this.#refillBucket(bucket, now);
    bucket.level -= cost;
  }

  /** Lowers a bucket to the level that a longer-lived peer knows. */
  adoptLevel(tenant: string, level: number): void {
    const bucket = this.#buckets.get(tenant);
    if (bucket !== undefined) bucket.level = Math.min(bucket.level, level);
  }

  /** Sets the share of the allowance that this node and those it hears may use. */
  setVisible({ known, heard }: VisibleNodes, now: number): void {
    const share = Math.min(1, heard / Math.max(1, known));
    if (share === this.#share) return;
    for (const bucket of this.#buckets.values()) {
      this.#refillBucket(bucket, now);
      if (share < this.#share && bucket.level > 0) {
        bucket.level *= share / this.#share;
      }
    }
    this.#share = share;
  }

  /** Makes buckets known to peers' reports before a first request. */
  prepare(tenants: readonly Tenant[], now: number): void {
    for (const tenant of tenants) {
      if (tenant.ratePerSecond > 0) this.#refill(tenant, now);
    }
  }

  /** Level and own admissions of each tenant, for the peers. */
  list(now: number): readonly (readonly [string, number, number])[] {
    return [...this.#buckets].map(([name, bucket]) => {
      this.#refillBucket(bucket, now);
      return [name, Math.round(bucket.level), bucket.admitted];
    });
  }

  #refill(tenant: Tenant, now: number): Bucket {
    const { name, ratePerSecond, burst } = tenant;
    let bucket = this.#buckets.get(name);
    if (bucket === undefined) {
      bucket = {
        level: burst * this.#share,
        rate: ratePerSecond,
        burst,
        updatedAt: now,
        admitted: 0,
      };
      this.#buckets.set(name, bucket);
    }
    this.#refillBucket(bucket, now);
    bucket.rate = ratePerSecond;
    bucket.burst = burst;
    bucket.level = Math.min(bucket.level, burst * this.#share);
    return bucket;
  }

  #refillBucket(bucket: Bucket, now: number): void {
    const elapsedSeconds = Math.max(0, now - bucket.updatedAt) / 1_000;
    const refilled = bucket.level +
      elapsedSeconds * bucket.rate * this.#share;
    bucket.level = Math.min(bucket.burst * this.#share, refilled);
    bucket.updatedAt = now;
  }
}
