/**
 * Chooses the cheapest reclaimable hosts that survive the loss of a data centre.
 *
 * If no data centre holds more than a bound M of reclaimable capacity, the total
 * must reach the protected demand plus M. For each bound, filling the cheapest
 * data centres up to it is optimal; the bounds are tried in steps.
 */

import type { Price } from "@almondcrank/platform/cloud_api.ts";
import {
  type Capacity,
  capacityEpsilon,
  type ClassCapacity,
  computeDeficit,
  computeSum,
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

interface Purchase {
  readonly offers: readonly Price[];
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
    const purchase = fill({ ...input, offers }, bound);
    if (best === undefined || isBetter(purchase, best)) best = purchase;
  }
  return best?.offers ?? [];
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
function fill(input: SpreadInput, bound: number): Purchase {
  const { requirement, classes } = input;
  let capacity = input.base;
  const offers: Price[] = [];
  let cost = 0;
  for (const offer of input.offers) {
    const unit = classes.get(offer.machineClass) ?? 0;
    for (;;) {
      const inZone = capacity.reclaimable.get(offer.zone) ?? 0;
      if (inZone + unit > bound + capacityEpsilon) break;
      if (computeDeficit(capacity, requirement) <= capacityEpsilon) break;
      // A host that mends nothing alone may do so with one elsewhere.
      capacity = computeSum(capacity, offer, unit);
      offers.push(offer);
      cost += offer.milliPerHour;
    }
  }
  return trim(input, { offers, cost, capacity });
}

/** Drops hosts that turn out not to be needed, the dearest first. */
function trim(
  { requirement, classes }: SpreadInput,
  { offers, cost, capacity }: {
    readonly offers: readonly Price[];
    readonly cost: number;
    readonly capacity: Capacity;
  },
): Purchase {
  const deficit = computeDeficit(capacity, requirement);
  const kept: Price[] = [];
  let rest = capacity;
  let keptCost = cost;
  for (const offer of [...offers].reverse()) {
    const unit = classes.get(offer.machineClass) ?? 0;
    const without = computeSum(rest, offer, -unit);
    if (computeDeficit(without, requirement) > deficit + capacityEpsilon) {
      kept.push(offer);
      continue;
    }
    rest = without;
    keptCost -= offer.milliPerHour;
  }
  return { offers: kept.reverse(), cost: keptCost, deficit };
}

function isBetter(a: Purchase, b: Purchase): boolean {
  const difference = a.deficit - b.deficit;
  if (Math.abs(difference) > capacityEpsilon) return difference < 0;
  return a.cost < b.cost;
}
