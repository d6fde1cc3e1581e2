/**
 * Distributed rate limits of tenants, without a coordinator.
 *
 * Each node keeps one token bucket per tenant for the whole system. It charges its
 * own admissions at once and those of its peers when they report them. In a
 * network partition the nodes of each side use only a share of the allowance. The
 * share depends mostly on their use before the partition, which both sides know
 * from the same reports, so together they stay within the allowance.
 *
 * The load that this answers: a tenant that sends many times its usual from one
 * second to the next, at many nodes that hear of each other's admissions late. All nodes see the same tokens, so each spends only its
 * part of them, its credit. What it has admitted and the others may not have heard
 * of counts against its part, so all parts together never exceed the bucket.
 *
 * A request is admitted while the bucket is above a floor, whatever the request
 * costs. Otherwise large requests would starve, as small ones take each token as
 * soon as it is refilled.
 */

import type { Tenant } from "@almondcrank/model/configuration.ts";
import {
  AllowanceMargins,
  type AllowanceTerms,
  plainTerms,
} from "@almondcrank/routing/limits/allowance_margins.ts";
import { AllowanceParts } from "./allowance_parts.ts";
import { PeerContact, type PeerVisibility } from "./peer_contact.ts";
import { type Bucket, createBucket } from "./tenant_bucket.ts";

/** Outcome of the rate limit check of one request. */
export type RateLimitVerdict =
  | { readonly kind: "admitted" }
  | { readonly kind: "over"; readonly retryAfterMs: number };

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

/** What one node knows of a tenant's allowance; amounts in the tenant's unit. */
export interface TenantUse {
  readonly tenant: string;
  /** Sums since this node started: its own, and what its peers admitted. */
  readonly admitted: number;
  readonly refused: number;
  readonly refunded: number;
  readonly heard: number;
  readonly level: number;
  readonly credit: number;
  /** This node's share of the level. */
  readonly part: number;
  /** Share of the allowance that this node and the peers it hears may use. */
  readonly share: number;
  readonly peersKnown: number;
  readonly peersHeard: number;
}

/** Longest time over which the retries of refused requests are spread. */
const maxRetrySpreadMs = 20_000;
/** Share of the burst below which a request counts as small. */
const smallCostShare = 0.005;
/** Token buckets of all tenants. Times are monotonic, in milliseconds. */
export class TenantRateLimiter {
  readonly #buckets = new Map<string, Bucket>();
  readonly #margins: AllowanceMargins;
  readonly #contact = PeerContact.create();
  readonly #parts: AllowanceParts;

  private constructor(margins: AllowanceMargins) {
    this.#margins = margins;
    this.#parts = AllowanceParts.create(this.#contact, margins);
  }

  /** @param tolerance Cost by which a tenant may exceed its allowance in a window. */
  static create(
    tolerance: number,
    terms: AllowanceTerms = plainTerms,
  ): TenantRateLimiter {
    return new TenantRateLimiter(AllowanceMargins.create(tolerance, terms));
  }

  /**
   * Charges a request to the tenant's bucket, or refuses it if too little is left.
   *
   * A nearly empty bucket admits only small requests, and those of the highest
   * priority as long as the others still get a fair part.
   */
  take(tenant: Tenant, charge: Charge, now: number): RateLimitVerdict {
    if (tenant.ratePerSecond <= 0) return { kind: "admitted" };
    const { cost, priority } = charge;
    const bucket = this.#refill(tenant, now);
    bucket.unheard.recordRequest(cost);
    const missing = this.#computeMissing(bucket, charge, now);
    bucket.priorities.record(priority, missing <= 0, now);
    if (missing <= 0) {
      bucket.level -= cost;
      bucket.credit -= cost;
      bucket.admitted += cost;
      bucket.unheard.recordAdmitted(cost);
      return { kind: "admitted" };
    }
    bucket.refused += cost;
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
    const minLevel = -this.#parts.computeOverdraft(bucket, now);
    const levelCost = this.#computeNeeded(bucket, cost, now);
    const missingForCost = Math.max(0, minLevel + levelCost - bucket.level);
    const isPreferred = priority === 0 &&
      bucket.priorities.isUrgentPreferred(now);
    const isSmall = cost < bucket.burst * smallCostShare;
    const floor = isPreferred || isSmall
      ? minLevel
      : -this.#parts.computeNormalOverdraft(bucket, now);
    const isAboveFloor = isSmall || bucket.level > floor;
    // Where all peers hear of it at once, these may spend what others leave unused.
    const isHeardAtOnce = this.#contact.isMesh && this.#contact.isCurrent(now);
    const needsCredit = bucket.creditShare < 1 &&
      !(isHeardAtOnce && (isPreferred || isSmall));
    // After a restart of all nodes even one request a node would be too much.
    const upShare = this.#margins.computeUpShare(now);
    const preferredCost = isPreferred ? bucket.unheard.meanCost : 0;
    const minCredit = this.#contact.isCurrent(now)
      ? cost * (1 - upShare) - preferredCost * upShare
      : Math.max(
        cost * (1 - upShare),
        computeHalf(cost, bucket.burst * bucket.share * bucket.creditShare),
      );
    const isCreditSpent = needsCredit && bucket.credit <= minCredit &&
      !this.#hasRoomForAll(bucket, now);
    return Math.max(
      missingForCost,
      isAboveFloor ? 0 : floor - bucket.level + 1,
      isCreditSpent ? 1 + minCredit - bucket.credit : 0,
    );
  }

  /**
   * Whether what all nodes may have admitted unheard fits into the bucket, so that
   * this node may exceed its part. It is estimated from what was heard last, raised
   * in the proportion in which this node itself exceeds its usual. Beyond the time
   * in which reports come as a rule, the others may use the whole rate.
   */
  #hasRoomForAll(bucket: Bucket, now: number): boolean {
    const lateMs = this.#contact.computeLateMs(now);
    const usualMs = this.#contact.computeUnheardMs(now) - lateMs;
    const usual = bucket.assumedPerMs * Math.max(0, usualMs);
    const late = bucket.rate / 1_000 * lateMs * bucket.share;
    const usualHere = usual / (this.#contact.heard.length + 1);
    const surge = bucket.unheard.computeSurge(usualHere);
    const overdraft = this.#parts.computeOverdraft(bucket, now);
    return usual * surge + late <= bucket.level + overdraft;
  }

  /**
   * Amount that must be left for a request: its cost. While a node does not hear all
   * others it is half of that, so that all of them together spend their parts and no more
   * on average, though a part may be smaller than one request.
   */
  #computeNeeded({ burst, share }: Bucket, cost: number, now: number): number {
    return this.#contact.isCurrent(now)
      ? Math.min(cost, burst)
      : computeHalf(cost, burst * share);
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
    const bucket = this.#buckets.get(tenant);
    return bucket && Math.round(bucket.level);
  }

  /** Lists what decides on a tenant's requests, for the log. */
  listInputs(
    tenant: string,
    now: number,
  ): Readonly<Record<string, number | undefined>> {
    const bucket = this.#buckets.get(tenant);
    const heardMs = now - this.#contact.heardAt;
    return {
      allowanceLeft: this.readLevel(tenant),
      creditLeft: bucket && Math.round(bucket.credit),
      heardMs: Number.isFinite(heardMs) ? Math.round(heardMs) : undefined,
    };
  }

  /** Lists the sums of each tenant since this node started, for the log. */
  listUse(now: number): readonly TenantUse[] {
    const { known, heard } = this.#contact;
    return [...this.#buckets].map(([tenant, bucket]) => {
      this.#refillBucket(bucket, now);
      return {
        tenant,
        admitted: Math.round(bucket.admitted + bucket.refunded),
        refused: Math.round(bucket.refused),
        refunded: Math.round(bucket.refunded),
        heard: Math.round(bucket.heard),
        level: Math.round(bucket.level),
        credit: Math.round(bucket.credit),
        part: bucket.creditShare,
        share: bucket.share,
        peersKnown: known.length,
        peersHeard: heard.length,
      };
    });
  }

  /** Refunds the charge of a request that did not run. */
  refund(tenant: Tenant, cost: number): void {
    const bucket = this.#buckets.get(tenant.name);
    if (bucket === undefined) return;
    bucket.level += cost;
    bucket.credit += cost;
    bucket.admitted -= cost;
    bucket.refunded += cost;
    bucket.unheard.recordAdmitted(-cost);
  }

  /** Records that a report arrived, whatever it changes. */
  recordHeard(now: number): void {
    this.#contact.recordHeard(now);
  }

  /** Charges what a peer admitted since its last report. */
  applyPeerCharge({ peer, tenant, cost }: PeerCharge, now: number): void {
    this.#contact.recordHeard(now);
    const bucket = this.#buckets.get(tenant);
    if (bucket === undefined) return;
    this.#refillBucket(bucket, now);
    bucket.level -= cost;
    bucket.heard += cost;
    bucket.use.add(peer, cost, now);
  }

  /**
   * Adopts the level that a longer-running peer reported first: it replaces the
   * guess of a restarted node, and lowers that of a node that has just joined. Later
   * levels contain charges that this node counts itself.
   */
  adoptLevel(tenant: string, level: number): void {
    const bucket = this.#buckets.get(tenant);
    if (bucket === undefined || bucket.isLevelAdopted) return;
    bucket.isLevelAdopted = true;
    const isGuess = this.#margins.startShare < 1;
    if (!isGuess && level >= bucket.level + bucket.withheld) return;
    bucket.level = level * bucket.share;
    bucket.withheld = level * (1 - bucket.share);
  }

  /** Records how long a peer has run that tells its levels. */
  recordTold(peerUpMs: number): void {
    this.#margins.recordTold(peerUpMs);
  }

  /** Sets the peers, and recomputes the shares if they changed. */
  setPeers(peers: PeerVisibility, now: number): void {
    if (!this.#contact.set(peers)) return;
    for (const bucket of this.#buckets.values()) {
      this.#refillBucket(bucket, now);
      this.#parts.refreshShare(bucket, now);
      this.#parts.refreshCredit(bucket, now);
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
    const heardUntil = Math.min(now, this.#contact.heardAt) -
      this.#contact.roundMs;
    return [...this.#buckets].map(([name, bucket]) => {
      this.#refillBucket(bucket, now);
      bucket.use.addOwn(bucket.admitted - bucket.reported, now);
      bucket.reported = bucket.admitted;
      bucket.unheard.recordReport(now, heardUntil);
      this.#parts.refreshCredit(bucket, now);
      return [name, Math.round(bucket.level), bucket.admitted];
    });
  }

  #refill(tenant: Tenant, now: number): Bucket {
    const { name, burst } = tenant;
    this.#margins.start(now);
    const rate = this.#margins.computeRate(tenant.ratePerSecond, now);
    let bucket = this.#buckets.get(name);
    if (bucket === undefined) {
      const { startShare } = this.#margins;
      bucket = createBucket({ rate, burst, startShare }, now);
      this.#parts.refreshCredit(bucket, now);
      this.#parts.refreshShare(bucket, now);
      this.#buckets.set(name, bucket);
    }
    const isLowered = burst < bucket.burst;
    this.#refillBucket(bucket, now);
    bucket.rate = rate;
    bucket.plainRate = tenant.ratePerSecond;
    bucket.burst = burst;
    if (isLowered) bucket.level = Math.min(bucket.level, burst * bucket.share);
    return bucket;
  }

  #refillBucket(bucket: Bucket, now: number): void {
    const elapsedSeconds = Math.max(0, now - bucket.updatedAt) / 1_000;
    const rate = this.#contact.isCurrent(now) ? bucket.rate : bucket.plainRate;
    const refillAmount = elapsedSeconds * rate * bucket.share;
    const refilled = bucket.level + refillAmount;
    const { pendingRetryCost } = bucket;
    bucket.pendingRetryCost = Math.max(0, pendingRetryCost - refillAmount);
    bucket.credit += refillAmount * bucket.creditShare;
    // What the others admitted unheard is still to be taken out of the level.
    const unheard = this.#contact.isMesh
      ? 0
      : bucket.heardPerMs * this.#contact.computeUnheardMs(now);
    const maxLevel = bucket.burst + unheard;
    bucket.level = Math.min(maxLevel * bucket.share, refilled);
    const withheld = bucket.withheld +
      elapsedSeconds * rate * (1 - bucket.share);
    bucket.withheld = Math.min(maxLevel * (1 - bucket.share), withheld);
    bucket.updatedAt = now;
  }
}

/** Computes half of a cost, or of the whole part of a node if that is less. */
function computeHalf(cost: number, part: number): number {
  return Math.min(cost, part) / 2;
}
