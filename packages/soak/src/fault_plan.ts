/**
 * Draws the faults of a soak at random from its seed.
 *
 * Faults follow each other at random intervals and overlap. None falls into the
 * last seconds, so that the recovery can be checked.
 */

import type { Random } from "@almondcrank/common/random.ts";

/** Faults that the system must mask: they may not break any answer. */
export const maskedFaultKinds = [
  "node_term",
  "node_hup",
  "store_silent",
  "store_busy",
  "store_reset",
  "store_loses_answers",
  "store_cut_off_node",
  "store_slow_for_node",
  "store_forgets_history",
  "store_restored",
  "configuration_changes",
  "configuration_storm",
  "key_withdrawn",
  "replica_drains",
  "replica_announces_leaving",
  "replica_pauses",
  "replica_names_limit",
  "replica_starts",
  "replica_falls_silent",
  "odd_registrations",
  "cloud_silent",
] as const;
/** Kind of a fault that the system must mask. */
export type MaskedFaultKind = (typeof maskedFaultKinds)[number];

/** Faults that excuse broken answers. */
export const breakingFaultKinds = [
  "node_kill",
  "node_kill_all",
  "node_stop",
  "replica_crashes",
  "replica_link_cut",
  "replica_link_one_way",
  "replica_link_reset",
  "replica_link_slow",
  "replica_declines",
  "replica_loses_answers",
  "replica_hangs",
  "replica_breaks_off",
  "replica_ends_within_event",
  "replica_mixes_answers",
  "replica_sends_extra",
] as const;
/** Kind of a fault that excuses broken answers. */
export type BreakingFaultKind = (typeof breakingFaultKinds)[number];

/** Ends of replicas in the middle of their answers, which are drawn on request. */
export const replicaEndKinds = [
  "replica_dies",
  "replica_exits_while_draining",
  "replica_returns_at_address",
  "replica_starts_again",
  "replica_ends_streams_first",
] as const;
/** Kind of an end of a replica. */
export type ReplicaEndKind = (typeof replicaEndKinds)[number];

/** A prompt part crashes replicas; only these crashes excuse broken answers. */
export const partCrashes = "prompt_part_crashes";

/** Kind of a fault or planned change. */
export type FaultKind =
  | MaskedFaultKind
  | BreakingFaultKind
  | ReplicaEndKind
  | typeof partCrashes;

/** All kinds of faults and planned changes that each soak draws from. */
export const faultKinds: readonly FaultKind[] = [
  ...maskedFaultKinds,
  ...breakingFaultKinds,
  partCrashes,
];

/** Changes that leave all nodes in contact with each other and the platform. */
const calmFaultKinds = [
  "node_hup",
  "configuration_changes",
  "configuration_storm",
  "replica_drains",
  "replica_names_limit",
  "replica_starts",
  "replica_falls_silent",
  "odd_registrations",
] as const satisfies readonly MaskedFaultKind[];

/** One fault of a plan; `atMs` counts from the start of the soak. */
export interface PlannedFault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly durationMs: number;
  /** Index of the node or replica, modulo their number. */
  readonly target: number;
}

/** Silences are drawn more often, as retries have to be scarce beside some. */
const drawnFaultKinds = [
  ...maskedFaultKinds,
  ...breakingFaultKinds,
  ...Array.from({ length: 4 }, () => "replica_falls_silent" as const),
];
/** Faults beside the ends of replicas. */
const besideEndKinds = [
  "node_kill",
  "node_stop",
  "node_term",
  "node_hup",
  "store_silent",
  "store_restored",
  "replica_drains",
  "replica_announces_leaving",
  "replica_starts",
  "replica_link_reset",
  "replica_breaks_off",
  "replica_falls_silent",
] as const satisfies readonly FaultKind[];
/** How often each end is drawn for each of the faults beside. */
const endsPerFault = 4;
const maxTarget = 1_000;
const firstFaultMs = 1_500;
const meanPauseMs = 900;
/** The same where replicas end. */
const meanEndPauseMs = 500;
const minDurationMs = 300;
const maxDurationMs = 4_000;
/** Time for which a replica names a limit: some windows of it are to be checked. */
const limitMs = 9_000;
/** Time at the end of a soak without faults. */
export const faultFreeMs = 12_000;

/** Probability that a plan in which there is time for it has part crashes. */
const partCrashesProbability = 0.5;
/** Start of part crashes: enough requests to compare with come before. */
const partCrashesAtMs = 3_000;
/** Time for which they last: long enough to see sound requests served again. */
const partCrashesMs = 15_000;

/**
 * Draws the faults of a soak that takes `lengthMs`, in order of their start.
 *
 * Until part crashes are over, all others are changes that leave the nodes in
 * contact, so that what the nodes let through is their own fault.
 */
export function createFaultPlan(
  random: Random,
  lengthMs: number,
): readonly PlannedFault[] {
  const faults: PlannedFault[] = [];
  const endsAt = lengthMs - faultFreeMs;
  const calmUntil = partCrashesAtMs + partCrashesMs;
  const hasPartCrashes = random.next() < partCrashesProbability &&
    calmUntil <= endsAt;
  if (hasPartCrashes) {
    faults.push({
      kind: partCrashes,
      atMs: partCrashesAtMs,
      durationMs: partCrashesMs,
      target: random.nextInt(maxTarget),
    });
  }
  /** Kinds that are drawn before any of them is drawn again. */
  const remaining: FaultKind[] = [];
  let atMs = firstFaultMs;
  while (atMs < endsAt) {
    const isCalm = hasPartCrashes && atMs < calmUntil;
    const drawnMs = minDurationMs +
      random.next() * (maxDurationMs - minDurationMs);
    if (remaining.length === 0) remaining.push(...drawnFaultKinds);
    const kind = isCalm
      ? random.choose<FaultKind>(calmFaultKinds)
      : takeKind(random, remaining);
    const durationMs = kind === "replica_names_limit" ? limitMs : drawnMs;
    faults.push({
      kind,
      atMs,
      durationMs: Math.min(durationMs, endsAt - atMs),
      target: random.nextInt(maxTarget),
    });
    atMs += random.nextExponential(meanPauseMs);
  }
  return faults.sort((one, other) => one.atMs - other.atMs);
}

/** Takes one of the kinds that remain at random. */
function takeKind(random: Random, remaining: FaultKind[]): FaultKind {
  const [kind] = remaining.splice(random.nextInt(remaining.length), 1);
  if (kind === undefined) throw new Error("no kind of fault remains");
  return kind;
}

/** Draws ends of replicas, and a few other faults beside them. */
export function createEndPlan(
  random: Random,
  lengthMs: number,
): readonly PlannedFault[] {
  const kinds: readonly FaultKind[] = [
    ...besideEndKinds,
    ...Array.from({ length: endsPerFault }, () => replicaEndKinds).flat(),
  ];
  const faults: PlannedFault[] = [];
  const endsAt = lengthMs - faultFreeMs;
  let atMs = firstFaultMs;
  while (atMs < endsAt) {
    const durationMs = minDurationMs +
      random.next() * (maxDurationMs - minDurationMs);
    faults.push({
      kind: random.choose(kinds),
      atMs,
      durationMs: Math.min(durationMs, endsAt - atMs),
      target: random.nextInt(maxTarget),
    });
    atMs += random.nextExponential(meanEndPauseMs);
  }
  return faults;
}
