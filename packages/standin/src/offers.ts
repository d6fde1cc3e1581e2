/**
 * Offers of the cloud stand-in: prices over time, capacity and the cost so far.
 */

import { z } from "zod";
import type { Market } from "@almondcrank/common/configuration.ts";
import type { Price } from "@almondcrank/infrastructure/cloud_api.ts";

const millisecondsPerHour = 3_600_000;

const market = z.enum(["reclaimable", "on_demand"]);
const share = z.number().min(0).max(1);

const priceTrace = z.array(z.strictObject({
  atMs: z.number().min(0),
  milliPerHour: z.number().min(0),
}));

/** Schema of one offer: a machine class in a zone and a market. */
export const offerSettings = z.strictObject({
  zone: z.string(),
  machineClass: z.string(),
  market,
  /** Price in thousandths of a currency unit per hour. */
  milliPerHour: z.number().min(0),
  /** Hosts that can be rented at once. */
  hosts: z.number().int().min(0),
  /** Share of requests that are refused although there is capacity. */
  refusedShare: share.default(0),
  /** Later prices, by time since the start in ascending order. */
  trace: priceTrace.default([]),
});
/** One offer, with all defaults filled in. */
export type Offer = z.infer<typeof offerSettings>;

/** Schema of a change to all offers of a zone, machine class and market. */
export const offerChange = z.strictObject({
  zone: z.string().optional(),
  machineClass: z.string().optional(),
  market: market.optional(),
  /** A new price removes the price trace, unless the change brings another. */
  milliPerHour: z.number().min(0).optional(),
  trace: priceTrace.optional(),
  hosts: z.number().int().min(0).optional(),
  refusedShare: share.optional(),
});
/** Change to every offer that matches. */
export type OfferChange = z.infer<typeof offerChange>;

/** Fields that identify an offer. */
export interface OfferKey {
  readonly zone: string;
  readonly machineClass: string;
  readonly market: Market;
}

/** Cost since the start: thousandths of a currency unit, and host time. */
export interface CloudCost {
  readonly milli: number;
  readonly hostMs: number;
  readonly hostMsByMarket: Readonly<Record<Market, number>>;
}

/** Offers of the cloud and the cost of its hosts. Times are since the start. */
export class Offers {
  #offers: readonly Offer[];
  #chargedUntilMs = 0;
  #milli = 0;
  readonly #hostMs: Record<Market, number> = { reclaimable: 0, on_demand: 0 };

  private constructor(offers: readonly Offer[]) {
    this.#offers = offers;
  }

  static create(offers: readonly Offer[]): Offers {
    return new Offers(offers);
  }

  get all(): readonly Offer[] {
    return this.#offers;
  }

  find(key: OfferKey): Offer | undefined {
    return this.#offers.find((offer) =>
      offer.zone === key.zone && offer.machineClass === key.machineClass &&
      offer.market === key.market
    );
  }

  /**
   * Changes all offers that match; returns their number.
   *
   * Call `chargeHosts` first: time not yet charged is charged at the new
   * prices.
   */
  apply(change: OfferChange): number {
    let matched = 0;
    this.#offers = this.#offers.map((offer) => {
      if (!isMatch(offer, change)) return offer;
      matched += 1;
      const keptTrace = change.milliPerHour === undefined ? offer.trace : [];
      return {
        ...offer,
        hosts: change.hosts ?? offer.hosts,
        refusedShare: change.refusedShare ?? offer.refusedShare,
        milliPerHour: change.milliPerHour ?? offer.milliPerHour,
        trace: change.trace ?? keptTrace,
      };
    });
    return matched;
  }

  /** Lists the prices in force at a time. */
  listPrices(atMs: number): readonly Price[] {
    return this.#offers.map((offer) => ({
      zone: offer.zone,
      machineClass: offer.machineClass,
      market: offer.market,
      milliPerHour: computePrice(offer, atMs),
    }));
  }

  /**
   * Charges hosts for the time since the last charge; they must have been rented
   * throughout it.
   */
  chargeHosts(hosts: readonly OfferKey[], atMs: number): void {
    for (const host of hosts) {
      this.#hostMs[host.market] += atMs - this.#chargedUntilMs;
      const offer = this.find(host);
      if (offer !== undefined) {
        this.#milli += computeCost(offer, this.#chargedUntilMs, atMs);
      }
    }
    this.#chargedUntilMs = atMs;
  }

  get cost(): CloudCost {
    const { reclaimable, on_demand } = this.#hostMs;
    return {
      milli: this.#milli,
      hostMs: reclaimable + on_demand,
      hostMsByMarket: { ...this.#hostMs },
    };
  }
}

function isMatch(offer: Offer, change: OfferChange): boolean {
  return (change.zone ?? offer.zone) === offer.zone &&
    (change.machineClass ?? offer.machineClass) === offer.machineClass &&
    (change.market ?? offer.market) === offer.market;
}

function computePrice(offer: Offer, atMs: number): number {
  const step = offer.trace.findLast((other) => other.atMs <= atMs);
  return step?.milliPerHour ?? offer.milliPerHour;
}

/** Computes the cost of one host between two times, at the prices in force. */
function computeCost(offer: Offer, fromMs: number, toMs: number): number {
  const steps = offer.trace.map((step) => step.atMs)
    .filter((atMs) => atMs > fromMs && atMs < toMs);
  let cost = 0;
  let begin = fromMs;
  for (const end of [...steps, toMs]) {
    cost += computePrice(offer, begin) * (end - begin) / millisecondsPerHour;
    begin = end;
  }
  return cost;
}
