/**
 * Chooses which hosts to rent and which to return, for one service.
 *
 * The plan meets two requirements: the capacity carries the current demand at
 * the latency target, and it still carries the protected share of the demand
 * after the loss of all reclaimable hosts of any one data centre. Reclaimable
 * hosts are spread over the data centres at the lowest cost that meets both.
 * On-demand hosts are a fallback: they are rented only for current demand that
 * no reclaimable offer covers, and are returned as soon as reclaimable hosts
 * carry it.
 *
 * The same input gives the same plan. Capacity is in units of demand.
 */

import type { Market } from "@almondcrank/common/configuration.ts";
import type { Price } from "@almondcrank/infrastructure/cloud_api.ts";
import {
  capacityEpsilon,
  computeCapacity,
  computeCapacityAfter,
  computeDeficit,
  type Requirement,
} from "./capacity.ts";
import { formatOffer, type Offer } from "./offers.ts";
import { chooseSpread, computeUnitPrice } from "./zone_spread.ts";

/** Host that serves the service now or once it has started. */
export interface PlannedHost extends Offer {
  readonly host: string;
  readonly state: "starting" | "running" | "leaving";
  /** False for hosts of the release note, which are never returned. */
  readonly isRented: boolean;
}

/** An offer with its price, in thousandths of a currency unit per hour. */
export type PricedOffer = Price;

/** Input of a capacity plan. */
export interface CapacityInput {
  /** Current demand in units of capacity. */
  readonly demand: number;
  /**
   * Recent peak of the demand; returns never leave less capacity than it needs.
   */
  readonly peakDemand: number;
  /** Utilisation up to which the latency target holds, in (0, 1]. */
  readonly targetUtilization: number;
  /**
   * Share of the demand that must survive the loss of a data centre, in [0, 1].
   */
  readonly protectedShare: number;
  /** Utilisation allowed while a lost data centre is replaced, in (0, 1]. */
  readonly survivalUtilization: number;
  /** Capacity of one host by machine class; classes left out are not rented. */
  readonly classCapacity: ReadonlyMap<string, number>;
  readonly hosts: readonly PlannedHost[];
  readonly offers: readonly PricedOffer[];
  /** Offers that are not requested for now, as `formatOffer` formats them. */
  readonly blocked: ReadonlySet<string>;
  /** Most hosts to rent in this step. */
  readonly maxRentals: number;
}

/** Hosts to rent and to return now. */
export interface CapacityPlan {
  /** Offers to rent a host of, with one entry per host. */
  readonly rentals: readonly Offer[];
  /** Names of hosts to return. */
  readonly returns: readonly string[];
  /** Capacity still missing for the current demand after the rentals. */
  readonly uncovered: number;
}

/**
 * Share of the demand kept as spare capacity when hosts are returned, so that
 * noise in the demand does not return hosts that are rented again right after.
 */
const returnMargin = 0.05;
/**
 * Hosts are replaced when the best spread costs at most this share of theirs.
 */
const maxReplacementCostRatio = 0.85;

/** Computes the hosts to rent and to return next, for one service. */
export function computeCapacityPlan(input: CapacityInput): CapacityPlan {
  const requirement = computeRequirement(input, input.demand);
  const { needed } = requirement;
  const present = input.hosts.filter(({ state }) => state !== "leaving");
  const rentals = chooseRentals(input, { present, requirement });
  const isStable = rentals.length === 0 &&
    present.every(({ state }) => state === "running");
  const replacements = isStable ? chooseReplacements(input, present) : [];
  const running = present.filter(({ state }) => state === "running");
  const returns = chooseReturns(input, running);
  const after = computeCapacity(input.classCapacity, [
    ...present,
    ...rentals,
  ]);
  const uncovered = Math.max(0, needed - after.total);
  return { rentals: [...rentals, ...replacements], returns, uncovered };
}

function computeRequirement(
  { targetUtilization, protectedShare, survivalUtilization }: CapacityInput,
  demand: number,
): Requirement {
  return {
    needed: demand / targetUtilization,
    protected: demand * protectedShare / survivalUtilization,
  };
}

/**
 * Chooses reclaimable offers first, then on-demand ones for the remaining
 * demand.
 */
function chooseRentals(
  input: CapacityInput,
  { present, requirement }: {
    readonly present: readonly PlannedHost[];
    readonly requirement: Requirement;
  },
): Offer[] {
  // Rented on-demand hosts are temporary: the spread is planned without them.
  const regular = present.filter((host) => !isFallback(host));
  const onDemandPrice = findCheapestOffer(input, "on_demand")?.milliPerHour ??
    Infinity;
  const rentals: Offer[] = chooseSpread({
    base: computeCapacity(input.classCapacity, regular),
    requirement,
    classes: input.classCapacity,
    offers: listAvailableOffers(input, "reclaimable")
      .filter(({ milliPerHour }) => milliPerHour <= onDemandPrice),
  }).slice(0, input.maxRentals);
  const all: Offer[] = [...present, ...rentals];
  while (rentals.length < input.maxRentals) {
    const missing = requirement.needed -
      computeCapacity(input.classCapacity, all).total;
    if (missing <= capacityEpsilon) break;
    const offer = findCheapestOffer(input, "on_demand");
    if (offer === undefined) break;
    rentals.push(offer);
    all.push(offer);
  }
  return rentals;
}

/**
 * Chooses cheaper hosts to replace rented ones, which are returned once the new
 * ones run.
 *
 * The present hosts are compared with the spread that would be chosen from
 * scratch, so after a price spike in one data centre its hosts are replaced
 * within one start-up time.
 */
function chooseReplacements(
  input: CapacityInput,
  present: readonly PlannedHost[],
): readonly Offer[] {
  const rented = present.filter((host) => host.isRented && !isFallback(host));
  const demand = Math.max(input.demand, input.peakDemand);
  const ideal = chooseSpread({
    base: computeCapacity(
      input.classCapacity,
      present.filter(({ isRented }) => !isRented),
    ),
    requirement: computeRequirement(input, demand),
    classes: input.classCapacity,
    offers: listAvailableOffers(input, "reclaimable"),
  });
  const cost = computeTotal(rented.map((host) => findPrice(input, host)));
  const idealCost = computeTotal(ideal.map((offer) => offer.milliPerHour));
  if (idealCost > maxReplacementCostRatio * cost) return [];
  const counts = new Map<string, number>();
  for (const host of rented) {
    const key = formatOffer(host);
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return ideal.filter((offer) => {
    const key = formatOffer(offer);
    const left = counts.get(key) ?? 0;
    counts.set(key, left - 1);
    return left <= 0;
  }).slice(0, input.maxRentals);
}

function computeTotal(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

/**
 * Chooses the most expensive hosts that are not needed; only running hosts
 * count as capacity.
 */
function chooseReturns(
  input: CapacityInput,
  running: readonly PlannedHost[],
): string[] {
  const demand = Math.max(input.demand, input.peakDemand);
  const fallback = running.filter(isFallback);
  const regular = running.filter((host) => !isFallback(host));
  const isCovered = isSufficient(
    input,
    regular,
    computeRequirement(input, demand),
  );
  if (isCovered && fallback.length > 0) return fallback.map(({ host }) => host);
  const requirement = computeRequirement(input, demand * (1 + returnMargin));
  let capacity = computeCapacity(input.classCapacity, running);
  const returned: string[] = [];
  for (const host of orderByUnitPrice(input, running)) {
    const rest = computeCapacityAfter(
      capacity,
      host,
      -findCapacity(input, host),
    );
    if (computeDeficit(rest, requirement) > capacityEpsilon) continue;
    capacity = rest;
    returned.push(host.host);
  }
  return returned;
}

/** Whether a host was rented on demand for lack of reclaimable ones. */
function isFallback({ market, isRented }: PlannedHost): boolean {
  return market === "on_demand" && isRented;
}

function isSufficient(
  input: CapacityInput,
  hosts: readonly Offer[],
  requirement: Requirement,
): boolean {
  const capacity = computeCapacity(input.classCapacity, hosts);
  return computeDeficit(capacity, requirement) <= capacityEpsilon;
}

function orderByUnitPrice(
  input: CapacityInput,
  hosts: readonly PlannedHost[],
): PlannedHost[] {
  return hosts.filter(({ isRented }) => isRented)
    .map((host) => ({ host, price: computeHostUnitPrice(input, host) }))
    .sort((a, b) => b.price - a.price || (a.host.host < b.host.host ? -1 : 1))
    .map(({ host }) => host);
}

/** Computes the price of one unit of a host's capacity. */
function computeHostUnitPrice(input: CapacityInput, host: Offer): number {
  return findPrice(input, host) / findCapacity(input, host);
}

/**
 * Finds the current price of a host. Without an offer, an on-demand host counts
 * as the most expensive, and a reclaimable one as free.
 */
function findPrice(input: CapacityInput, host: Offer): number {
  const offer = input.offers.find((offer) =>
    offer.zone === host.zone && offer.machineClass === host.machineClass &&
    offer.market === host.market
  );
  if (offer !== undefined) return offer.milliPerHour;
  return host.market === "on_demand" ? Number.MAX_SAFE_INTEGER : 0;
}

function listAvailableOffers(
  input: CapacityInput,
  market: Market,
): PricedOffer[] {
  return input.offers.filter((offer) =>
    offer.market === market && input.classCapacity.has(offer.machineClass) &&
    !input.blocked.has(formatOffer(offer))
  );
}

function findCheapestOffer(
  input: CapacityInput,
  market: Market,
): PricedOffer | undefined {
  return listAvailableOffers(input, market)
    .sort((a, b) =>
      computeUnitPrice(input.classCapacity, a) -
      computeUnitPrice(input.classCapacity, b)
    )[0];
}

function findCapacity(input: CapacityInput, { machineClass }: Offer): number {
  return input.classCapacity.get(machineClass) ?? 0;
}
