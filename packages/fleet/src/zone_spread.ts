/**
 * Chooses the cheapest reclaimable hosts that survive the loss of a data centre.
 *
 * If no data centre holds more than a bound M of reclaimable capacity, the total
 * must reach the protected demand plus M. For each bound, filling the cheapest
 * data centres up to it is optimal; the bounds are tried in steps.
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

const bounds = 100;

/** What a choice depends on. */
export interface SpreadInput {
  /** Capacity that is there already. */
  readonly base: Capacity;
  readonly requirement: Requirement;
  readonly classes: ClassCapacity;
  /** Reclaimable offers to choose from. */
  readonly offers: readonly Price[];
}

/** A number of hosts of one offer. */
interface Lot {
  readonly offer: Price;
  readonly count: number;
}

interface Purchase {
  readonly lots: readonly Lot[];
  readonly cost: number;
  readonly deficit: number;
}

/** Chooses hosts to rent, one entry a host. */
export function chooseSpread(input: SpreadInput): readonly Price[] {
  const { base, requirement } = input;
  if (computeDeficit(base, requirement) <= capacityEpsilon) return [];
  const offers = [...input.offers].sort((a, b) =>
    computeUnitPrice(input.classes, a) - computeUnitPrice(input.classes, b)
  );
  let best: Purchase | undefined;
  for (const bound of listBounds(input)) {
    const purchase = choosePurchase({ ...input, offers }, bound);
    if (best === undefined || isBetter(purchase, best)) best = purchase;
  }
  return (best?.lots ?? []).flatMap(({ offer, count }) =>
    Array<Price>(count).fill(offer)
  );
}

/** Price of one unit of capacity. */
export function computeUnitPrice(
  classes: ClassCapacity,
  { machineClass, milliPerHour }: Price,
): number {
  return milliPerHour / (classes.get(machineClass) ?? 0);
}

/** Bounds from an even split to all in one data centre. */
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
    // Whole hosts: the bound is rounded up to what hosts of one class fill.
    found.push(Math.ceil(bound / unit - capacityEpsilon) * unit);
  }
  return found;
}

/** Fills the cheapest data centres up to the bound. */
function choosePurchase(input: SpreadInput, bound: number): Purchase {
  const { requirement, classes } = input;
  let capacity = input.base;
  const lots: Lot[] = [];
  for (const offer of input.offers) {
    const unit = classes.get(offer.machineClass) ?? 0;
    const inZone = capacity.reclaimable.get(offer.zone) ?? 0;
    const fitting = Math.floor((bound - inZone) / unit + capacityEpsilon);
    if (fitting <= 0) continue;
    const before = capacity;
    // Hosts that mend nothing alone may do so with some elsewhere.
    const count = findLeast(
      fitting,
      (count) =>
        computeDeficit(
          computeCapacityAfter(before, offer, count * unit),
          requirement,
        ) <=
          capacityEpsilon,
    );
    capacity = computeCapacityAfter(before, offer, count * unit);
    lots.push({ offer, count });
  }
  return removeSurplus(input, { lots, capacity });
}

/** Drops hosts that turn out not to be needed, the dearest first. */
function removeSurplus(
  { requirement, classes }: SpreadInput,
  { lots, capacity }: {
    readonly lots: readonly Lot[];
    readonly capacity: Capacity;
  },
): Purchase {
  const deficit = computeDeficit(capacity, requirement);
  const kept: Lot[] = [];
  let rest = capacity;
  let cost = 0;
  for (const { offer, count } of [...lots].reverse()) {
    const unit = classes.get(offer.machineClass) ?? 0;
    const before = rest;
    const deficitWith = createDeficit(before, offer.zone, requirement);
    const needed = findLeast(
      count,
      (needed) =>
        deficitWith((needed - count) * unit) <= deficit + capacityEpsilon,
    );
    rest = computeCapacityAfter(before, offer, (needed - count) * unit);
    kept.push({ offer, count: needed });
    cost += needed * offer.milliPerHour;
  }
  return { lots: kept.reverse(), cost, deficit };
}

/** Computes deficits with more or less in one data centre, without allocating. */
function createDeficit(
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

/** Finds the least count up to `most` that is enough, `most` if none is. */
function findLeast(
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

function isBetter(a: Purchase, b: Purchase): boolean {
  const difference = a.deficit - b.deficit;
  if (Math.abs(difference) > capacityEpsilon) return difference < 0;
  return a.cost < b.cost;
}
