/**
 * A node's part of each allowance: the share of those that hear each other, and of
 * that its own credit until the next report.
 *
 * Recent use decides for the most part, as reports told it to all, so that the
 * parts of all nodes add up to no more than the whole. A node that does not hear all
 * others in time leaves the excess alone that the contract allows.
 */

import type { AllowanceMargins } from "@almondcrank/routing/limits/allowance_margins.ts";

import { aloneShare } from "@almondcrank/routing/limits/limit_shares.ts";
import type { PeerContact } from "./peer_contact.ts";
import { useDecayMs } from "./peer_use.ts";
import type { Bucket } from "./tenant_bucket.ts";

/** Use added to the known use of each node, as a share of the burst. */
const assumedUseShare = 0.02;
/** Weight of recent use in a partition's share; the rest is even among the nodes. */
const useWeight = 0.75;
/**
 * Share by which a node's part of the level is raised: never do all nodes use
 * theirs, as requests don't come evenly.
 */
const unevenShare = 0.15;
/** Time for which a restarted node assumes that the whole rate is used. */
const assumedUseMs = 1_000;

/** Parts of one node. Times are monotonic, in milliseconds. */
export class AllowanceParts {
  readonly #contact: PeerContact;
  readonly #margins: AllowanceMargins;

  private constructor(contact: PeerContact, margins: AllowanceMargins) {
    this.#contact = contact;
    this.#margins = margins;
  }

  static create(
    contact: PeerContact,
    margins: AllowanceMargins,
  ): AllowanceParts {
    return new AllowanceParts(contact, margins);
  }

  /** Cost by which a bucket may be overdrawn; 0 while a node does not hear all others in time. */
  computeOverdraft(bucket: Bucket, now: number): number {
    return this.#contact.isCurrent(now)
      ? this.#margins.computeOverdraft(bucket, now)
      : 0;
  }

  /** The same for requests without preference. */
  computeNormalOverdraft(bucket: Bucket, now: number): number {
    return this.#contact.isCurrent(now)
      ? this.#margins.computeNormalOverdraft(bucket, now)
      : 0;
  }

  /**
   * Sets the share of the nodes that hear each other. What it leaves to the others
   * is withheld, and comes back with the news of what they used.
   */
  refreshShare(bucket: Bucket, now: number): void {
    const share = this.#computeShare(bucket, now);
    if (share < bucket.share) {
      // The others spend their parts, and so this node has at most its own left.
      const { credit } = bucket;
      const own = credit < 0 ? credit : credit / bucket.creditShare * share;
      const level = Math.min(bucket.level / bucket.share * share, own);
      if (level < bucket.level) {
        bucket.withheld += bucket.level - level;
        bucket.level = level;
      }
    } else if (share > bucket.share) {
      const released = bucket.withheld * (share - bucket.share) /
        (1 - bucket.share);
      bucket.level += released;
      bucket.withheld -= released;
    }
    bucket.share = share;
  }

  /**
   * Sets this node's credit to its part of the level. What it admitted that its
   * peers may not have heard of counts against it, over the same time for which it
   * may not have heard of theirs.
   */
  refreshCredit(bucket: Bucket, now: number): void {
    const { heard } = this.#contact;
    const evenShare = 1 / (heard.length + 1);
    const own = bucket.burst * assumedUseShare + bucket.use.readOwn(now);
    const heardUse = this.#sumUse(bucket, heard, now);
    const assumedUse = bucket.burst * assumedUseShare * (heard.length + 1);
    const use = heardUse - assumedUse;
    bucket.heardPerMs = Math.min(bucket.rate / 1_000, use / useDecayMs);
    bucket.assumedPerMs = this.#computePerMs(bucket, use, now);
    bucket.creditShare = (own / heardUse + evenShare) / 2;
    const unheard = this.#contact.isMesh ? 0 : bucket.unheard.readCost();
    const left = bucket.level + unheard +
      this.computeNormalOverdraft(bucket, now);
    const factor = 1 + unevenShare * this.#margins.computeUpShare(now);
    bucket.credit = left * bucket.creditShare * factor - unheard;
  }

  /** Computes the cost a millisecond from recent use; the whole rate at a start. */
  #computePerMs({ rate }: Bucket, use: number, now: number): number {
    if (!this.#margins.isRestart) return use / useDecayMs;
    const perMs = rate / 1_000;
    const upMs = this.#margins.computeUpMs(now);
    const heardMs = Math.max(0, upMs - this.#contact.roundMs);
    const forgotten = Math.exp(-heardMs / useDecayMs);
    const assumed = assumedUseMs * forgotten;
    const observedMs = useDecayMs * (1 - forgotten);
    return Math.min(perMs, (use + perMs * assumed) / (observedMs + assumed));
  }

  #computeShare(bucket: Bucket, now: number): number {
    const { known, heard } = this.#contact;
    const evenShare = (heard.length + 1) / (known.length + 1);
    if (evenShare >= 1) return 1;
    // Nothing tells this node what the others use, nor how many there are.
    const isAlone = this.#margins.isRestart && heard.length === 0;
    if (isAlone) return evenShare * aloneShare;
    const useShare = this.#sumUse(bucket, heard, now) /
      this.#sumUse(bucket, known, now);
    return useWeight * useShare + (1 - useWeight) * evenShare;
  }

  /**
   * Sums the recent use of this node and of some peers, with a fixed amount for the
   * use of each that is not yet reported.
   */
  #sumUse(bucket: Bucket, peers: readonly string[], now: number): number {
    const assumed = bucket.burst * assumedUseShare * (peers.length + 1);
    return assumed + bucket.use.sum(peers, this.#contact.known, now);
  }
}
