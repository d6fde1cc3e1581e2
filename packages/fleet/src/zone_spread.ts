/**
 * Chooses the cheapest reclaimable hosts that tolerate the loss of any zone.
 *
 * If no data centre holds more than a bound M of reclaimable capacity, the
 * total must reach the protected demand plus M. For each bound, filling the
 * cheapest data centres up to it is optimal; bounds are tried in steps.
 */

import type { Price } from "@almondcrank/infrastructure/cloud_api.ts";
import {
  type Capacity,
  capacityEpsilon,
  type ClassCapacity,
  computeCapacityAfter,
  computeDeficit,
  type Requirement,
} from "./capacity.ts";

/** Steps into which the range of bounds is divided at most. */
const bounds = 100;

/** Input of `chooseSpread`. */
export interface SpreadInput {
  /** Capacity that already exists. */
  readonly base: Capacity;
  readonly requirement: Requirement;
  readonly classes: ClassCapacity;
  /** Reclaimable offers to choose from. */
  readonly offers: readonly Price[];
}

/** Number of hosts to rent of one offer. */
interface OfferCount {
  readonly offer: Price;
  readonly count: number;
}

/** Hosts chosen under one bound. */
interface Selection {
  readonly counts: readonly OfferCount[];
  /** In thousandths of a currency unit per hour. */
  readonly cost: number;
  readonly deficit: number;
}

/**
 * Chooses offers to rent hosts of, with one entry per host.
 *
 * The smallest deficit wins, then the lowest cost.
 */
export function chooseSpread(input: SpreadInput): readonly Price[] {
  const { base, requirement } = input;
  if (computeDeficit(base, requirement) <= capacityEpsilon) return [];
  const offers = [...input.offers].sort((a, b) =>
    computeUnitPrice(input.classes, a) - computeUnitPrice(input.classes, b)
  );
  let best: Selection | undefined;
  for (const bound of listBounds(input)) {
    const selection = chooseSelection({ ...input, offers }, bound);
    if (best === undefined || isBetter(selection, best)) best = selection;
  }
  return (best?.counts ?? []).flatMap(({ offer, count }) =>
    Array<Price>(count).fill(offer)
  );
}

/** Computes the price of one unit of an offer's capacity. */
export function computeUnitPrice(
  classes: ClassCapacity,
  { machineClass, milliPerHour }: Price,
): number {
  return milliPerHour / (classes.get(machineClass) ?? 0);
}

/** Lists bounds, from an even split to all capacity in one data centre. */
function listBounds({ requirement, classes, offers }: SpreadInput): number[] {
  const highest = Math.max(requirement.protected, requirement.needed);
  const zones = new Set(offers.map(({ zone }) => zone)).size;
  const lowest = highest / Math.max(1, zones);
  const unit = Math.min(
    ...offers.map(({ machineClass }) => classes.get(machineClass) ?? 0),
  );
  const step = Math.max(unit, (highest - lowest) / bounds);
  const found: number[] = [];
  for (let bound = lowest; bound < highest + unit; bound += step) {
    // Hosts are whole, so the bound is rounded up to a multiple of the
    // smallest.
    found.push(Math.ceil(bound / unit - capacityEpsilon) * unit);
  }
  return found;
}

/** Fills the cheapest data centres up to the bound. */
function chooseSelection(input: SpreadInput, bound: number): Selection {
  const { requirement, classes } = input;
  let capacity = input.base;
  const counts: OfferCount[] = [];
  for (const offer of input.offers) {
    const unit = classes.get(offer.machineClass) ?? 0;
    const inZone = capacity.reclaimable.get(offer.zone) ?? 0;
    const fitting = Math.floor((bound - inZone) / unit + capacityEpsilon);
    if (fitting <= 0) continue;
    const before = capacity;
    // If no count suffices, all fitting hosts are taken: they may suffice
    // together with hosts in other data centres.
    const count = findSmallestCount(
      fitting,
      (count) =>
        computeDeficit(
          computeCapacityAfter(before, offer, count * unit),
          requirement,
        ) <=
          capacityEpsilon,
    );
    capacity = computeCapacityAfter(before, offer, count * unit);
    counts.push({ offer, count });
  }
  return removeSurplus(input, { counts, capacity });
}

/** Removes hosts whose removal adds no deficit, the most expensive first. */
function removeSurplus(
  { requirement, classes }: SpreadInput,
  { counts, capacity }: {
    readonly counts: readonly OfferCount[];
    readonly capacity: Capacity;
  },
): Selection {
  const deficit = computeDeficit(capacity, requirement);
  const kept: OfferCount[] = [];
  let rest = capacity;
  let cost = 0;
  for (const { offer, count } of [...counts].reverse()) {
    const unit = classes.get(offer.machineClass) ?? 0;
    const before = rest;
    const deficitWith = createZoneDeficit(before, offer.zone, requirement);
    const needed = findSmallestCount(
      count,
      (needed) =>
        deficitWith((needed - count) * unit) <= deficit + capacityEpsilon,
    );
    rest = computeCapacityAfter(before, offer, (needed - count) * unit);
    kept.push({ offer, count: needed });
    cost += needed * offer.milliPerHour;
  }
  return { counts: kept.reverse(), cost, deficit };
}

/**
 * Creates a function that computes the deficit after a change of the
 * reclaimable capacity in one zone, without allocating on each call.
 */
function createZoneDeficit(
  { total, reclaimable }: Capacity,
  zone: string,
  requirement: Requirement,
): (added: number) => number {
  let elsewhere = 0;
  for (const [other, capacity] of reclaimable) {
    if (other !== zone) elsewhere = Math.max(elsewhere, capacity);
  }
  const here = reclaimable.get(zone) ?? 0;
  return (added) => {
    const largest = Math.max(elsewhere, here + added);
    const left = total + added - largest;
    return Math.max(0, requirement.needed - total - added) +
      Math.max(0, requirement.protected - left);
  };
}

/**
 * Finds the smallest count below `most` that is enough by binary search, or
 * `most` if there is none.
 */
function findSmallestCount(
  most: number,
  isEnough: (count: number) => boolean,
): number {
  let low = 0;
  let high = most;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (isEnough(middle)) high = middle;
    else low = middle + 1;
  }
  return low;
}

function isBetter(a: Selection, b: Selection): boolean {
  const difference = a.deficit - b.deficit;
  if (Math.abs(difference) > capacityEpsilon) return difference < 0;
  return a.cost < b.cost;
}
