/**
 * Offers of the cloud API and the refusals remembered of them.
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

const firstBlockMs = 30_000;
const longestBlockMs = 600_000;

interface Block {
  readonly until: number;
  readonly nextMs: number;
}

/** Formats an offer as a key. */
export function formatOffer({ zone, machineClass, market }: Offer): string {
  return `${zone}/${machineClass}/${market}`;
}

/** Refused offers, each left alone for a time that doubles with each refusal. */
export class OfferBackoff {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #blocks = new Map<string, Block>();

  private constructor(clock: Clock, random: Random) {
    this.#clock = clock;
    this.#random = random;
  }

  static create(clock: Clock, random: Random): OfferBackoff {
    return new OfferBackoff(clock, random);
  }

  isBlocked(offer: Offer): boolean {
    const block = this.#blocks.get(formatOffer(offer));
    return block !== undefined && block.until > this.#clock.now();
  }

  recordRefusal(offer: Offer): void {
    if (this.isBlocked(offer)) return;
    const key = formatOffer(offer);
    const ms = this.#blocks.get(key)?.nextMs ?? firstBlockMs;
    this.#blocks.set(key, {
      until: this.#clock.now() + ms * (0.75 + this.#random.next() / 2),
      nextMs: Math.min(longestBlockMs, ms * 2),
    });
  }

  recordGrant(offer: Offer): void {
    this.#blocks.delete(formatOffer(offer));
  }
}
