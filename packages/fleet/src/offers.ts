/**
 * Kinds of hosts that the cloud API offers, and the backoff after refusals.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Market } from "@almondcrank/common/configuration.ts";
import type { Random } from "@almondcrank/common/random.ts";

/** A kind of host that can be rented. */
export interface Offer {
  readonly zone: string;
  readonly machineClass: string;
  readonly market: Market;
}

const initialBackoffMs = 30_000;
const maxBackoffMs = 600_000;

/** A refused offer; its backoff may have ended. */
interface BlockedOffer {
  /** Monotonic time at which the backoff ends, in milliseconds. */
  readonly until: number;
  /** Backoff after the next refusal, before jitter. */
  readonly nextMs: number;
}

/** Formats an offer as `zone/machineClass/market`, for use as a key. */
export function formatOffer({ zone, machineClass, market }: Offer): string {
  return `${zone}/${machineClass}/${market}`;
}

/** Exponential backoff with jitter, kept separately for each refused offer. */
export class OfferBackoff {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #blockedOffers = new Map<string, BlockedOffer>();

  private constructor(clock: Clock, random: Random) {
    this.#clock = clock;
    this.#random = random;
  }

  static create(clock: Clock, random: Random): OfferBackoff {
    return new OfferBackoff(clock, random);
  }

  /** Whether an offer was refused and its backoff has not ended. */
  isBlocked(offer: Offer): boolean {
    const block = this.#blockedOffers.get(formatOffer(offer));
    return block !== undefined && block.until > this.#clock.now();
  }

  /**
   * Blocks an offer; refusals of an offer that is already blocked count once.
   */
  recordRefusal(offer: Offer): void {
    if (this.isBlocked(offer)) return;
    const key = formatOffer(offer);
    const ms = this.#blockedOffers.get(key)?.nextMs ?? initialBackoffMs;
    this.#blockedOffers.set(key, {
      until: this.#clock.now() + ms * (0.75 + this.#random.next() / 2),
      nextMs: Math.min(maxBackoffMs, ms * 2),
    });
  }

  /** Unblocks an offer and resets its backoff. */
  recordGrant(offer: Offer): void {
    this.#blockedOffers.delete(formatOffer(offer));
  }
}
