/**
 * Decides which hosts to rent and which to give back, for one service.
 *
 * Two things must hold: the capacity carries the present demand at the latency
 * target, and it still carries the protected part of the demand after the
 * reclaimable hosts of any one data centre vanished. Reclaimable hosts are spread
 * so that this costs least. On-demand hosts are bought only for present demand that no reclaimable
 * offer covers, and are given back as soon as reclaimable hosts carry it.
 *
 * Pure: the same input gives the same plan. Capacity is in units of demand.
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

/** Host that serves the service, or will once it has started. */
export interface PlannedHost extends Offer {
  readonly host: string;
  readonly state: "starting" | "running" | "leaving";
  /** False for hosts of the release note, which are not given back. */
  readonly isRented: boolean;
}

/** An offer with its price. */
export type PricedOffer = Price;

/** What a plan depends on. */
export interface CapacityInput {
  /** Present demand in units of capacity. */
  readonly demand: number;
  /** Highest demand of late, which capacity that goes back must not fall below. */
  readonly peakDemand: number;
  /** Utilisation up to which the latency target holds, in (0, 1]. */
  readonly targetUtilization: number;
  /** Part of the demand that must survive the loss of a data centre, in [0, 1]. */
  readonly protectedShare: number;
  /** Utilisation allowed while a lost data centre is replaced, in (0, 1]. */
  readonly survivalUtilization: number;
  /** Capacity of one host by machine class; classes left out are not rented. */
  readonly classCapacity: ReadonlyMap<string, number>;
  readonly hosts: readonly PlannedHost[];
  readonly offers: readonly PricedOffer[];
  /** Offers refused of late, as `formatOffer` writes them. */
  readonly blocked: ReadonlySet<string>;
  /** Hosts to rent at most in this step. */
  readonly maxRentals: number;
}

/** Steps to take now. */
export interface CapacityPlan {
  readonly rentals: readonly Offer[];
  /** Names of hosts. */
  readonly returns: readonly string[];
  /** Capacity missing for the present demand that no offer covers. */
  readonly uncovered: number;
}

/** Spare part of the capacity kept when hosts are given back. */
const giveBackMargin = 0.05;
/** Hosts are replaced when others cost less than this part of their price. */
const replaceBelow = 0.85;
/** Computes the next step for one service. */
export function computeCapacityPlan(input: CapacityInput): CapacityPlan {
  const requirement = computeRequirement(input, input.demand);
  const { needed } = requirement;
  const present = input.hosts.filter(({ state }) => state !== "leaving");
  const rent = chooseRents(input, { present, requirement });
  const isSettled = rent.length === 0 &&
    present.every(({ state }) => state === "running");
  const swap = isSettled ? chooseSwap(input, present) : [];
  const running = present.filter(({ state }) => state === "running");
  const giveBack = chooseReturns(input, running);
  const after = computeCapacity(input.classCapacity, [
    ...present,
    ...rent,
  ]);
  const uncovered = Math.max(0, needed - after.total);
  return { rentals: [...rent, ...swap], returns: giveBack, uncovered };
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

/** Rents reclaimable hosts first, and on-demand ones for what they leave open. */
function chooseRents(
  input: CapacityInput,
  { present, requirement }: {
    readonly present: readonly PlannedHost[];
    readonly requirement: Requirement;
  },
): Offer[] {
  // Rented on-demand hosts are stopgaps: the spread is planned without them.
  const lasting = present.filter((host) => !isStopgap(host));
  const onDemandPrice = findCheapest(input, "on_demand")?.milliPerHour ??
    Infinity;
  const rent: Offer[] = chooseSpread({
    base: computeCapacity(input.classCapacity, lasting),
    requirement,
    classes: input.classCapacity,
    offers: listAvailable(input, "reclaimable")
      .filter(({ milliPerHour }) => milliPerHour <= onDemandPrice),
  }).slice(0, input.maxRentals);
  const all: Offer[] = [...present, ...rent];
  while (rent.length < input.maxRentals) {
    const missing = requirement.needed -
      computeCapacity(input.classCapacity, all).total;
    if (missing <= capacityEpsilon) break;
    const offer = findCheapest(input, "on_demand");
    if (offer === undefined) break;
    rent.push(offer);
    all.push(offer);
  }
  return rent;
}

/**
 * Rents hosts in place of dearer ones, which go back once the new ones run.
 *
 * The spread that would be chosen anew is compared with the present one, so a
 * price spike in one data centre is left within a start-up time.
 */
function chooseSwap(
  input: CapacityInput,
  present: readonly PlannedHost[],
): readonly Offer[] {
  const rented = present.filter((host) => host.isRented && !isStopgap(host));
  const demand = Math.max(input.demand, input.peakDemand);
  const ideal = chooseSpread({
    base: computeCapacity(
      input.classCapacity,
      present.filter(({ isRented }) => !isRented),
    ),
    requirement: computeRequirement(input, demand),
    classes: input.classCapacity,
    offers: listAvailable(input, "reclaimable"),
  });
  const cost = computeTotal(rented.map((host) => findPrice(input, host)));
  const idealCost = computeTotal(ideal.map((offer) => offer.milliPerHour));
  if (idealCost > replaceBelow * cost) return [];
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

/** Gives back the dearest hosts that are not needed, running ones counted only. */
function chooseReturns(
  input: CapacityInput,
  running: readonly PlannedHost[],
): string[] {
  const demand = Math.max(input.demand, input.peakDemand);
  const stopgaps = running.filter(isStopgap);
  const lasting = running.filter((host) => !isStopgap(host));
  const isCovered = isEnough(input, lasting, computeRequirement(input, demand));
  if (isCovered && stopgaps.length > 0) return stopgaps.map(({ host }) => host);
  // Margin keeps noise in the demand from returning what is rented next.
  const requirement = computeRequirement(input, demand * (1 + giveBackMargin));
  let capacity = computeCapacity(input.classCapacity, running);
  const returned: string[] = [];
  for (const host of sortDearestFirst(input, running)) {
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

/** Rented on-demand hosts bridge a lack of reclaimable ones. */
function isStopgap({ market, isRented }: PlannedHost): boolean {
  return market === "on_demand" && isRented;
}

function isEnough(
  input: CapacityInput,
  hosts: readonly Offer[],
  requirement: Requirement,
): boolean {
  const capacity = computeCapacity(input.classCapacity, hosts);
  return computeDeficit(capacity, requirement) <= capacityEpsilon;
}

function sortDearestFirst(
  input: CapacityInput,
  hosts: readonly PlannedHost[],
): PlannedHost[] {
  return hosts.filter(({ isRented }) => isRented)
    .map((host) => ({ host, price: computeHostPrice(input, host) }))
    .sort((a, b) => b.price - a.price || (a.host.host < b.host.host ? -1 : 1))
    .map(({ host }) => host);
}

/** Price of one unit of a host's capacity. */
function computeHostPrice(input: CapacityInput, host: Offer): number {
  return findPrice(input, host) / findCapacity(input, host);
}

/** Price of a host's offer; a host without one is taken for the dearest. */
function findPrice(input: CapacityInput, host: Offer): number {
  const offer = input.offers.find((offer) =>
    offer.zone === host.zone && offer.machineClass === host.machineClass &&
    offer.market === host.market
  );
  if (offer !== undefined) return offer.milliPerHour;
  return host.market === "on_demand" ? Number.MAX_SAFE_INTEGER : 0;
}

function listAvailable(input: CapacityInput, market: Market): PricedOffer[] {
  return input.offers.filter((offer) =>
    offer.market === market && input.classCapacity.has(offer.machineClass) &&
    !input.blocked.has(formatOffer(offer))
  );
}

function findCheapest(
  input: CapacityInput,
  market: Market,
): PricedOffer | undefined {
  return listAvailable(input, market)
    .sort((a, b) =>
      computeUnitPrice(input.classCapacity, a) -
      computeUnitPrice(input.classCapacity, b)
    )[0];
}

function findCapacity(input: CapacityInput, { machineClass }: Offer): number {
  return input.classCapacity.get(machineClass) ?? 0;
}
