/**
 * Checks of a soak's records beside replicas that fall silent and beside parts
 * of prompts that crash replicas.
 */

import { contactMs } from "@almondcrank/standin/platform/node_settings.ts";
import type {
  CallerRecord,
  FaultSpan,
  Finding,
  RunRecord,
  SoakRecords,
} from "./records.ts";

/** Time after the end of a fault during which answers may still break. */
export const faultEffectMs = 3_500;
/** Shortest timeout of the routes in a soak's configurations. */
const minTimeoutMs = 2_000;
/** Crashes under one part after which nodes must hold back its requests. */
const knownCrashes = 5;
/** Requests with that part which may reach replicas nevertheless. */
const maxLaterRequests = 3;
/** Share at which sound requests must be served, of the share before. */
const minShareBesideCrashes = 0.5;
/** Share at which resumed streams must go on, of that at which new ones begin. */
const minResumedShare = 0.5;
/** Requests of each sort from which on shares are compared. */
const minSoundRequests = 20;
/** The same for resumed streams, of which there are fewer. */
const minResumedStreams = 10;

/** Checks these promises; returns the broken ones. */
export function checkReplicaPromises(
  records: SoakRecords,
): readonly Finding[] {
  const parts = new Set(records.crashes.map(({ part }) => part));
  return [
    ...checkSilences(records),
    ...[...parts].flatMap((part) => checkHeldBack(part, records)),
    ...[...parts].flatMap((part) => checkSoundRequests(part, records)),
    ...checkResumedStreams(records),
  ];
}

/** Whether an answer is missing, cut, or a failure to get it. */
export function isBrokenAnswer({ status, isComplete }: CallerRecord): boolean {
  return status === 0 || !isComplete || status === 502 || status === 504;
}

/** Finds streams that were cut or refused although a replica was only silent. */
function checkSilences(records: SoakRecords): readonly Finding[] {
  const silences = records.faults.filter(({ name }) =>
    name === "replica_falls_silent"
  );
  const runsById = new Map<string, RunRecord[]>();
  for (const run of records.runs) {
    runsById.set(run.id, [...runsById.get(run.id) ?? [], run]);
  }
  return records.callers
    .filter((caller) => {
      const runs = runsById.get(caller.id) ?? [];
      return isStream(caller) && isUnserved(caller) &&
        runs.some((run) => silences.some((span) => isHeldUp(run, span))) &&
        !isExcused(caller, runs, records.faults);
    })
    .map(({ id, status, isComplete }) => ({
      promise: "a stream outlasts its replica's silence",
      request: id,
      detail: `status ${status}, ${isComplete ? "complete" : "cut"}`,
    }));
}

function isStream({ kind }: CallerRecord): boolean {
  return kind === "stream" || kind === "once";
}

/** Whether a sound request got no whole answer though it had time left. */
function isUnserved(caller: CallerRecord): boolean {
  if (caller.leftAt !== undefined || isServed(caller)) return false;
  if (caller.crashingPart !== undefined) return false;
  return caller.endedAt - caller.sentAt < minTimeoutMs;
}

function isServed({ status, isComplete }: CallerRecord): boolean {
  return status === 200 && isComplete;
}

function isHeldUp(run: RunRecord, silence: FaultSpan): boolean {
  const isSilent = silence.target === undefined ||
    run.replica === silence.target;
  return isSilent && run.startedAt < silence.to &&
    (run.endedAt ?? Infinity) > silence.from;
}

/** Whether a fault of its node, of a replica that ran it, or of all hit it. */
function isExcused(
  caller: CallerRecord,
  runs: readonly RunRecord[],
  faults: readonly FaultSpan[],
): boolean {
  const targets = new Set([caller.node, ...runs.map((run) => run.replica)]);
  return faults.some(({ isMasked, target, from, to }) =>
    !isMasked && (target === undefined || targets.has(target)) &&
    caller.endedAt >= from && caller.sentAt <= to + faultEffectMs
  );
}

/** Finds too many requests at replicas with a part known to crash them. */
function checkHeldBack(
  part: string,
  { crashes, promptArrivals }: SoakRecords,
): readonly Finding[] {
  const crash = listCrashes(part, crashes)[knownCrashes - 1];
  if (crash === undefined) return [];
  const later = promptArrivals.filter(({ at, promptParts }) =>
    at > crash.at + contactMs && hasPart(promptParts, part)
  );
  if (later.length <= maxLaterRequests) return [];
  return [{
    promise: "a part that crashes replicas is held back",
    request: later.at(-1)?.id ?? "",
    detail: `${later.length} arrivals with part ${part}; ` +
      `${listCrashes(part, crashes).length} crashes in all`,
  }];
}

function listCrashes(
  part: string,
  crashes: SoakRecords["crashes"],
): SoakRecords["crashes"] {
  return crashes.filter((crash) => crash.part === part)
    .sort((one, other) => one.at - other.at);
}

function hasPart(promptParts: string, part: string): boolean {
  return promptParts.split(",").some((entry) => entry.split(":")[0] === part);
}

/**
 * Checks that sound requests are served beside those with a part that crashes
 * replicas: from twice the contact time after the fifth crash, or the last.
 */
function checkSoundRequests(
  part: string,
  records: SoakRecords,
): readonly Finding[] {
  const crashes = listCrashes(part, records.crashes);
  const crash = crashes[knownCrashes - 1] ?? crashes.at(-1);
  const crashing = records.callers
    .filter(({ crashingPart }) => crashingPart === part)
    .map(({ sentAt }) => sentAt);
  if (crash === undefined || crashing.length === 0) return [];
  const sound = records.callers.filter((caller) =>
    isStream(caller) && isSound(caller, records)
  );
  const firstAt = Math.min(...crashing);
  const lastAt = Math.max(...crashing);
  const before = sound.filter(({ endedAt }) => endedAt < firstAt);
  const beside = sound.filter(({ sentAt }) =>
    sentAt > crash.at + 2 * contactMs && sentAt < lastAt
  );
  return checkShares({
    promise: "sound requests are served beside a part that crashes replicas",
    minShare: minShareBesideCrashes,
    minCount: minSoundRequests,
    usual: { all: before, good: before.filter(isServed) },
    checked: { all: beside, good: beside.filter(isServed) },
  });
}

/** Whether a new request was to be served: by its prompt, key and caller. */
function isSound(
  { crashingPart, isReturn, leftAt, key }: CallerRecord,
  { withdrawals }: SoakRecords,
): boolean {
  return crashingPart === undefined && !isReturn && leftAt === undefined &&
    withdrawals.every((withdrawal) => withdrawal.key !== key);
}

/** Checks that streams which callers resume go on as often as new ones begin. */
function checkResumedStreams(records: SoakRecords): readonly Finding[] {
  const streams = records.callers.filter(({ kind }) => kind === "stream");
  const begun = streams.filter((caller) => isSound(caller, records));
  const resumed = streams.filter((caller) =>
    caller.isReturn && isSound({ ...caller, isReturn: false }, records)
  );
  return checkShares({
    promise: "streams that callers resume go on",
    minShare: minResumedShare,
    minCount: minResumedStreams,
    usual: { all: begun, good: begun.filter(({ status }) => status === 200) },
    checked: { all: resumed, good: resumed.filter(isServed) },
  });
}

/** Requests of one sort, and those of them that went well. */
interface Sample {
  readonly all: readonly CallerRecord[];
  readonly good: readonly CallerRecord[];
}

/** Two samples, and the promise on their good shares. */
interface Comparison {
  readonly promise: string;
  /** Smallest good share of the checked sample, of that of the usual one. */
  readonly minShare: number;
  /** Requests of each sample from which on the shares are compared. */
  readonly minCount: number;
  readonly usual: Sample;
  readonly checked: Sample;
}

function checkShares(
  { promise, minShare, minCount, usual, checked }: Comparison,
): readonly Finding[] {
  if (Math.min(usual.all.length, checked.all.length) < minCount) return [];
  const usualShare = usual.good.length / usual.all.length;
  const share = checked.good.length / checked.all.length;
  if (share >= usualShare * minShare) return [];
  return [{
    promise,
    request: checked.all.find((caller) => !isServed(caller))?.id ?? "",
    detail: `${checked.good.length} of ${checked.all.length}, ` +
      `otherwise ${usual.good.length} of ${usual.all.length}`,
  }];
}
