/**
 * Checks of a soak's records beside replicas that fall silent.
 */

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
/** Checks these promises; returns the broken ones. */
export function checkReplicaPromises(
  records: SoakRecords,
): readonly Finding[] {
  return checkSilences(records);
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
