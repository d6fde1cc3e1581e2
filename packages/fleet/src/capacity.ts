/**
 * Capacity of hosts by data centre, and its deficit against a requirement.
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

/** Capacity that a service needs. */
export interface Requirement {
  /** Needed while all hosts are up. */
  readonly needed: number;
  /** Needed after the loss of all reclaimable hosts of any one data centre. */
  readonly protected: number;
}

/** Differences up to this are rounding errors and count as zero. */
export const capacityEpsilon = 1e-9;

/** Computes the capacity of hosts; a class without an entry counts as zero. */
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

/** Computes the capacity after `added`, which may be negative, in one zone. */
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

/**
 * Computes the capacity that is missing now plus the capacity that is missing
 * after the worst loss of one data centre's reclaimable hosts.
 */
export function computeDeficit(
  { total, reclaimable }: Capacity,
  requirement: Requirement,
): number {
  const largest = Math.max(0, ...reclaimable.values());
  return Math.max(0, requirement.needed - total) +
    Math.max(0, requirement.protected - (total - largest));
}
