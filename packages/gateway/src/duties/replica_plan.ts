/**
 * Decides how many replicas of each kind a service should have in each zone.
 *
 * Reclaimable replicas carry the load: they cost a fraction, and all zones get
 * enough of them that the loss of the largest zone leaves what is needed. What is
 * missing while none are to be had is bought on demand, in the cheapest zones,
 * and given back once reclaimable replicas serve again. A replica that serves is
 * never given up to make room for another kind.
 */

import type { ScalingLimits } from "@almondcrank/model/configuration.ts";

/** Replicas of one kind in one zone. */
export interface ZoneReplicas {
  readonly zone: string;
  readonly isReclaimable: boolean;
  /** Serving and not leaving. */
  readonly ready: number;
  /** Ordered, accepted and not serving yet. */
  readonly booting: number;
}

/** What the plan knows of one service. */
export interface ReplicaPlanInput {
  readonly scaling: ScalingLimits;
  readonly zones: readonly string[];
  readonly replicas: readonly ZoneReplicas[];
  /** Replicas wanted for the load, with room for what is not known yet. */
  readonly wanted: number;
  /** Replicas without which the present load would not be answered in time. */
  readonly essential: number;
}

/** Numbers wanted in one zone. */
export interface ZonePlan {
  readonly zone: string;
  readonly reclaimable: number;
  readonly onDemand: number;
}

/** Replicas needed for each one that would be busy all the time. */
const headroom = 1.35;
/** Share of a replica's places that may be taken before more are needed. */
const takenShare = 0.7;

/** Load of a service. */
export interface ServiceLoad {
  /** Replicas that the present work would keep busy all the time. */
  readonly busy: number;
  /** Requests that its replicas have at present. */
  readonly active: number;
  /** Requests that one replica takes at once. */
  readonly slots: number;
}

/** Replicas that the load needs, by engine time and by places. */
export function computeRequiredReplicas(
  { busy, active, slots }: ServiceLoad,
): number {
  const byWork = Math.ceil(busy * headroom);
  const byPlaces = Math.ceil(active / Math.max(1, slots * takenShare));
  return Math.max(byWork, byPlaces);
}

/** Plans all zones of a service. */
export function computeReplicaPlan(
  input: ReplicaPlanInput,
): readonly ZonePlan[] {
  const { zones, scaling } = input;
  const reclaimable = computeReclaimable(input);
  const onDemand = computeOnDemandByZone(input, computeOnDemand(input));
  return zones.map((zone) => {
    const dedicated = onDemand.get(zone) ?? 0;
    const room = Math.max(0, scaling.maxPerZone - dedicated);
    return {
      zone,
      reclaimable: Math.min(reclaimable, room),
      onDemand: dedicated,
    };
  });
}

/** Reclaimable replicas of each zone, enough to lose the largest zone. */
function computeReclaimable(
  { zones, scaling, wanted }: ReplicaPlanInput,
): number {
  const survivingZones = Math.max(1, zones.length - 1);
  const each = Math.ceil(wanted / survivingZones);
  return Math.max(scaling.minPerZone, Math.min(scaling.maxPerZone, each));
}

/** Replicas on demand for what reclaimable ones do not cover. */
function computeOnDemand({ essential, replicas }: ReplicaPlanInput): number {
  const ready = count(replicas, true, "ready");
  const booting = count(replicas, true, "booting");
  const missing = Math.max(0, essential - ready);
  // A notice is shorter than a boot, so the next reclaim is
  // provided for.
  const missingAfterReclaim = essential - countSurviving(replicas);
  const missingLater = Math.max(0, missing - booting, missingAfterReclaim);
  // Replicas on demand are kept until reclaimable ones really serve.
  const kept = Math.min(missing, count(replicas, false, "ready"));
  return Math.max(kept, missingLater);
}

/** Spreads replicas on demand, keeping those that serve, then by price. */
function computeOnDemandByZone(
  { zones, scaling, replicas }: ReplicaPlanInput,
  total: number,
): ReadonlyMap<string, number> {
  const planned = new Map<string, number>();
  let left = total;
  const byPrice = [...zones].sort((a, b) =>
    (scaling.zonePrices.get(a) ?? 1) - (scaling.zonePrices.get(b) ?? 1)
  );
  for (const zone of byPrice) {
    const present = countZone(replicas, zone, false);
    const kept = Math.min(left, present, scaling.maxPerZone);
    planned.set(zone, kept);
    left -= kept;
  }
  const hasRoom = (zone: string): boolean =>
    (planned.get(zone) ?? 0) + countZone(replicas, zone, true) <
      scaling.maxPerZone;
  // New ones go round the cheaper zones, so that no zone holds them all.
  const cheaper = byPrice.slice(0, Math.ceil(byPrice.length / 2));
  while (left > 0) {
    const open = cheaper.some(hasRoom) ? cheaper : byPrice;
    const zone = open.filter(hasRoom)
      .sort((a, b) => (planned.get(a) ?? 0) - (planned.get(b) ?? 0))[0];
    if (zone === undefined) break;
    planned.set(zone, (planned.get(zone) ?? 0) + 1);
    left -= 1;
  }
  return planned;
}

/** Replicas of one kind in a zone, those that boot included. */
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

/** Reclaimable replicas left after the zone with most of them is lost. */
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
