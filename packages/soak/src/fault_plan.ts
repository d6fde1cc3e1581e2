/**
 * Draws the faults of a soak from its seed.
 *
 * Faults come in series and overlap; the last seconds stay calm, so that recovery
 * can be seen.
 */

import type { Random } from "@almondcrank/common/random.ts";

/** What goes wrong. */
export const faultKinds = [
  "node_kill",
  "node_kill_all",
  "node_term",
  "node_stop",
  "node_hup",
  "store_silent",
  "store_busy",
  "store_reset",
  "store_loses_answers",
  "store_cut_off_node",
  "store_slow_for_node",
  "store_forgets_history",
  "configuration_changes",
  "configuration_storm",
  "key_withdrawn",
  "replica_drains",
  "replica_crashes",
  "replica_starts",
  "replica_link_cut",
  "replica_link_one_way",
  "replica_link_reset",
  "replica_link_slow",
  "replica_declines",
  "replica_loses_answers",
  "replica_hangs",
  "replica_breaks_off",
  "replica_mixes_answers",
  "replica_sends_extra",
  "cloud_silent",
] as const;
export type FaultKind = (typeof faultKinds)[number];

/** One fault of a plan; times count from the soak's start. */
export interface PlannedFault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly durationMs: number;
  /** Which node or replica; taken modulo their number. */
  readonly target: number;
}

/** Faults that are planned work and may break no answer. */
const plannedWork: ReadonlySet<FaultKind> = new Set([
  "node_term",
  "node_hup",
  "configuration_changes",
  "configuration_storm",
  "key_withdrawn",
  "replica_drains",
  "replica_starts",
  "store_silent",
  "store_busy",
  "store_reset",
  "store_loses_answers",
  "store_slow_for_node",
  "store_cut_off_node",
  "store_forgets_history",
  "cloud_silent",
]);

const firstFaultMs = 1_500;
const meanPauseMs = 900;
const shortestMs = 300;
const longestMs = 4_000;
/** Time at the end without faults. */
export const faultFreeMs = 12_000;

/** Whether a fault is no reason for a broken answer. */
export function isMaskedFault(kind: FaultKind): boolean {
  return plannedWork.has(kind);
}

/** Draws the faults of a soak of a length. */
export function createFaultPlan(
  random: Random,
  lengthMs: number,
): readonly PlannedFault[] {
  const faults: PlannedFault[] = [];
  const endsAt = lengthMs - faultFreeMs;
  let atMs = firstFaultMs;
  while (atMs < endsAt) {
    const durationMs = shortestMs + random.next() * (longestMs - shortestMs);
    faults.push({
      kind: random.choose(faultKinds),
      atMs,
      durationMs: Math.min(durationMs, endsAt - atMs),
      target: random.nextInt(1_000),
    });
    atMs += random.nextExponential(meanPauseMs);
  }
  return faults;
}
