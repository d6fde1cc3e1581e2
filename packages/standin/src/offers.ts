/**
 * What the cloud offers: prices over time, capacity, and the cost so far.
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

/** One kind of host the cloud rents out. */
export const offerSettings = z.strictObject({
  zone: z.string(),
  machineClass: z.string(),
  market,
  /** Price in thousandths of a currency unit an hour. */
  milliPerHour: z.number().min(0),
  /** Hosts that can be rented at once. */
  hosts: z.number().int().min(0),
  /** Share of requests refused although there is capacity. */
  refusedShare: share.default(0),
  /** Later prices, by time since the start. */
  trace: priceTrace.default([]),
});
export type Offer = z.infer<typeof offerSettings>;

/** Order that changes every offer it matches. */
export const offerChange = z.strictObject({
  zone: z.string().optional(),
  machineClass: z.string().optional(),
  market: market.optional(),
  /** A new price ends the trace, unless the order brings another. */
  milliPerHour: z.number().min(0).optional(),
  trace: priceTrace.optional(),
  hosts: z.number().int().min(0).optional(),
  refusedShare: share.optional(),
});
export type OfferChange = z.infer<typeof offerChange>;

/** What tells offers apart. */
export interface OfferKey {
  readonly zone: string;
  readonly machineClass: string;
  readonly market: Market;
}

/** Cost since the start. */
export interface CloudCost {
  readonly milli: number;
  readonly hostMs: number;
  readonly hostMsByMarket: Readonly<Record<Market, number>>;
}

/** Offers of the cloud and the running bill. Times are since the start. */
export class Offers {
  #offers: readonly Offer[];
  #billedTo = 0;
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

  /** Changes all offers that match; returns how many. Bill first. */
  apply(order: OfferChange): number {
    let matched = 0;
    this.#offers = this.#offers.map((offer) => {
      if (!isMatch(offer, order)) return offer;
      matched += 1;
      const keptTrace = order.milliPerHour === undefined ? offer.trace : [];
      return {
        ...offer,
        hosts: order.hosts ?? offer.hosts,
        refusedShare: order.refusedShare ?? offer.refusedShare,
        milliPerHour: order.milliPerHour ?? offer.milliPerHour,
        trace: order.trace ?? keptTrace,
      };
    });
    return matched;
  }

  listPrices(atMs: number): readonly Price[] {
    return this.#offers.map((offer) => ({
      zone: offer.zone,
      machineClass: offer.machineClass,
      market: offer.market,
      milliPerHour: computePrice(offer, atMs),
    }));
  }

  /** Adds the time since the last bill for the hosts rented throughout it. */
  chargeHosts(hosts: readonly OfferKey[], atMs: number): void {
    for (const host of hosts) {
      this.#hostMs[host.market] += atMs - this.#billedTo;
      const offer = this.find(host);
      if (offer !== undefined) {
        this.#milli += computeCost(offer, this.#billedTo, atMs);
      }
    }
    this.#billedTo = atMs;
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

function isMatch(offer: Offer, order: OfferChange): boolean {
  return (order.zone ?? offer.zone) === offer.zone &&
    (order.machineClass ?? offer.machineClass) === offer.machineClass &&
    (order.market ?? offer.market) === offer.market;
}

function computePrice(offer: Offer, atMs: number): number {
  const step = offer.trace.findLast((other) => other.atMs <= atMs);
  return step?.milliPerHour ?? offer.milliPerHour;
}

/** Cost of one host between two times, over every price in between. */
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
