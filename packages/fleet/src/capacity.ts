/**
 * Capacity of hosts by data centre, and what it lacks.
 */

import type { Market } from "@almondcrank/common/configuration.ts";
import type { Offer } from "./offers.ts";

/** Capacity of one host by machine class. */
export type ClassCapacity = ReadonlyMap<string, number>;

/** Capacity in total, and of the reclaimable hosts of each data centre. */
export interface Capacity {
  readonly total: number;
  readonly reclaimable: ReadonlyMap<string, number>;
}

/** What the capacity must reach. */
export interface Requirement {
  readonly needed: number;
  /** Needed after the reclaimable hosts of any one data centre vanished. */
  readonly protected: number;
}

/** Differences below this count as none. */
export const capacityEpsilon = 1e-9;

/** Computes the capacity of hosts. */
export function computeCapacity(
  classes: ClassCapacity,
  hosts: readonly Offer[],
): Capacity {
  const reclaimable = new Map<string, number>();
  let total = 0;
  for (const host of hosts) {
    const added = classes.get(host.machineClass) ?? 0;
    total += added;
    if (host.market === "on_demand") continue;
    reclaimable.set(host.zone, (reclaimable.get(host.zone) ?? 0) + added);
  }
  return { total, reclaimable };
}

/** Computes a capacity with `added` more, or less, in one place. */
export function computeCapacityAfter(
  { total, reclaimable }: Capacity,
  { market, zone }: { readonly market: Market; readonly zone: string },
  added: number,
): Capacity {
  if (market === "on_demand") return { total: total + added, reclaimable };
  const zoneTotal = (reclaimable.get(zone) ?? 0) + added;
  return {
    total: total + added,
    reclaimable: new Map(reclaimable).set(zone, zoneTotal),
  };
}

/** Computes what is missing now, and in the worst case of a lost data centre. */
export function computeDeficit(
  { total, reclaimable }: Capacity,
  requirement: Requirement,
): number {
  const largest = Math.max(0, ...reclaimable.values());
  return Math.max(0, requirement.needed - total) +
    Math.max(0, requirement.protected - (total - largest));
}
