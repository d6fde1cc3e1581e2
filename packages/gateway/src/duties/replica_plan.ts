/**
 * Decides how many replicas of each kind a service should have in each zone.
 *
 * Reclaimable replicas carry the load, as they cost a fraction of the price. Each
 * zone gets enough of them that the rest suffices when the largest zone is lost.
 * While too few are available, replicas on demand fill the gap, in the cheapest
 * zones, and in a shortage the headroom as well. They are released once reclaimable replicas serve again. A serving
 * replica is never released to make room for the other kind.
 */

import type { ScalingLimits } from "@almondcrank/model/configuration.ts";

/** Replicas of one kind in one zone. */
export interface ZoneReplicas {
  readonly zone: string;
  readonly isReclaimable: boolean;
  /** Replicas that serve and are not leaving. */
  readonly ready: number;
  /** Replicas of an accepted order that do not serve yet. */
  readonly booting: number;
}

/** Inputs of the plan of one service. */
export interface ReplicaPlanInput {
  readonly scaling: ScalingLimits;
  readonly zones: readonly string[];
  readonly replicas: readonly ZoneReplicas[];
  /** Replicas for the load, with headroom for load that is not known yet. */
  readonly wanted: number;
  /** Least number of replicas that answers the present load in time. */
  readonly essential: number;
  /** Whether no more reclaimable replicas are to be had at present. */
  readonly isShort: boolean;
}

/** Planned numbers of replicas in one zone. */
export interface ZonePlan {
  readonly zone: string;
  readonly reclaimable: number;
  readonly onDemand: number;
}

/** Replicas needed for each one that is busy all the time. */
const headroom = 1.35;
/** Share of a replica's slots in use above which more replicas are needed. */
const maxSlotShare = 0.7;

/** Load of a service. */
export interface ServiceLoad {
  /** Replicas that the present work keeps busy all the time. */
  readonly busy: number;
  /** Requests that run on its replicas at present. */
  readonly active: number;
  /** Requests that one replica runs at once. */
  readonly slots: number;
}

/** Computes the replicas that the load needs, by engine time and by slots. */
export function computeRequiredReplicas(
  { busy, active, slots }: ServiceLoad,
): number {
  const byWork = Math.ceil(busy * headroom);
  const bySlots = Math.ceil(active / Math.max(1, slots * maxSlotShare));
  return Math.max(byWork, bySlots);
}

/** Computes the plan for all zones of a service. */
export function computeReplicaPlan(
  input: ReplicaPlanInput,
): readonly ZonePlan[] {
  const { zones, scaling, replicas, isShort } = input;
  const reclaimable = computeReclaimable(input);
  const onDemand = computeOnDemandByZone(input, computeOnDemand(input));
  return zones.map((zone) => {
    const onDemandCount = onDemand.get(zone) ?? 0;
    const room = Math.max(0, scaling.maxPerZone - onDemandCount);
    // What is released in a shortage can't be had again when it is needed.
    const kept = isShort ? countReady(replicas, zone, true) : 0;
    return {
      zone,
      reclaimable: Math.min(Math.max(reclaimable, kept), room),
      onDemand: onDemandCount,
    };
  });
}

/** Reclaimable replicas per zone, so that one zone may be lost. */
function computeReclaimable(
  { zones, scaling, wanted }: ReplicaPlanInput,
): number {
  const survivingZones = Math.max(1, zones.length - 1);
  const perZone = Math.ceil(wanted / survivingZones);
  return Math.max(scaling.minPerZone, Math.min(scaling.maxPerZone, perZone));
}

/** Number of replicas on demand that fill the gap of the reclaimable ones. */
function computeOnDemand(
  { essential, wanted, isShort, replicas }: ReplicaPlanInput,
): number {
  const ready = count(replicas, true, "ready");
  const booting = count(replicas, true, "booting");
  // In a shortage the next reclaim can't be made up, and replicas that begin
  // without cached prompts do more work for the same load.
  const target = isShort ? wanted : essential;
  const missing = Math.max(0, target - ready);
  // Reclaim notices are shorter than the boot time of a replacement, so the
  // capacity for the next reclaim is ordered in advance.
  const missingAfterReclaim = target - countSurviving(replicas);
  const missingLater = Math.max(0, missing - booting, missingAfterReclaim);
  // Replicas on demand stay until reclaimable ones are ready, not just booting.
  const kept = Math.min(missing, count(replicas, false, "ready"));
  return Math.max(kept, missingLater);
}

/** Distributes replicas on demand: existing ones stay, new ones go by price. */
function computeOnDemandByZone(
  { zones, scaling, replicas }: ReplicaPlanInput,
  total: number,
): ReadonlyMap<string, number> {
  const plannedByZone = new Map<string, number>();
  let remaining = total;
  const byPrice = [...zones].sort((a, b) =>
    (scaling.zonePrices.get(a) ?? 1) - (scaling.zonePrices.get(b) ?? 1)
  );
  for (const zone of byPrice) {
    const present = countZone(replicas, zone, false);
    const kept = Math.min(remaining, present, scaling.maxPerZone);
    plannedByZone.set(zone, kept);
    remaining -= kept;
  }
  const hasRoom = (zone: string): boolean =>
    (plannedByZone.get(zone) ?? 0) + countZone(replicas, zone, true) <
      scaling.maxPerZone;
  // New ones go to the cheaper half of the zones in turn, so that no zone holds all.
  const cheaper = byPrice.slice(0, Math.ceil(byPrice.length / 2));
  while (remaining > 0) {
    const candidates = cheaper.some(hasRoom) ? cheaper : byPrice;
    const zone = candidates.filter(hasRoom)
      .sort((a, b) =>
        (plannedByZone.get(a) ?? 0) - (plannedByZone.get(b) ?? 0)
      )[0];
    if (zone === undefined) break;
    plannedByZone.set(zone, (plannedByZone.get(zone) ?? 0) + 1);
    remaining -= 1;
  }
  return plannedByZone;
}

/** Counts replicas of one kind that serve in a zone. */
function countReady(
  replicas: readonly ZoneReplicas[],
  zone: string,
  isReclaimable: boolean,
): number {
  return replicas.find((entry) =>
    entry.zone === zone && entry.isReclaimable === isReclaimable
  )?.ready ?? 0;
}

/** Counts replicas of one kind in a zone, including those that boot. */
function countZone(
  replicas: readonly ZoneReplicas[],
  zone: string,
  isReclaimable: boolean,
): number {
  return replicas
    .filter((entry) =>
      entry.zone === zone && entry.isReclaimable === isReclaimable
    )
    .reduce((sum, entry) => sum + entry.ready + entry.booting, 0);
}

/** Counts the reclaimable replicas outside the zone that has most of them. */
function countSurviving(replicas: readonly ZoneReplicas[]): number {
  const counts = replicas
    .filter((entry) => entry.isReclaimable)
    .map((entry) => entry.ready + entry.booting);
  const total = counts.reduce((sum, count) => sum + count, 0);
  return total - Math.max(0, ...counts);
}

function count(
  replicas: readonly ZoneReplicas[],
  isReclaimable: boolean,
  field: "ready" | "booting",
): number {
  return replicas
    .filter((entry) => entry.isReclaimable === isReclaimable)
    .reduce((sum, entry) => sum + entry[field], 0);
}
