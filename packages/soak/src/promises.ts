/**
 * Checks a soak's records against what the users' pages promise.
 *
 * Each check names the request it found, so that its story can be read in the
 * nodes' logs with `almondcrank explain`.
 */

import type {
  CallerRecord,
  FaultSpan,
  RequestKind,
  RunRecord,
  SoakRecords,
} from "./records.ts";

/** A promise that was broken. */
export interface Finding {
  readonly promise: string;
  readonly request: string;
  readonly detail: string;
}

/** Statuses that promise that the request has not run and will not. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const onceKinds: ReadonlySet<RequestKind> = new Set(["once", "book"]);
/** Time after a fault in which its effects may still show. */
const afterFaultMs = 3_500;
/** Time after a withdrawal from which no node may take the key. */
const withdrawalMs = 5_000;
/** Time in which a run ends after its caller has left. */
const abandonedMs = 1_500;
/** Time after the last fault from which requests must be served. */
const recoveryMs = 6_000;
const servedShare = 0.95;

/** Checks all promises. */
export function checkPromises(records: SoakRecords): readonly Finding[] {
  const runs = groupRuns(records.runs);
  return [
    ...records.callers.flatMap((caller) =>
      checkRequest(caller, runs.get(caller.id) ?? [], records)
    ),
    ...checkRuns(records),
    ...checkUsage(records),
    ...checkWithdrawals(records),
    ...checkRecovery(records),
  ];
}

function groupRuns(
  runs: readonly RunRecord[],
): ReadonlyMap<string, readonly RunRecord[]> {
  const byId = new Map<string, RunRecord[]>();
  for (const run of runs) {
    const list = byId.get(run.id);
    if (list === undefined) byId.set(run.id, [run]);
    else list.push(run);
  }
  return byId;
}

function checkRequest(
  caller: CallerRecord,
  runs: readonly RunRecord[],
  records: SoakRecords,
): readonly Finding[] {
  const findings: Finding[] = [];
  const add = (promise: string, detail: string): void => {
    findings.push({ promise, request: caller.id, detail });
  };
  const begun = runs.filter((run) => !run.isMoved);
  if (onceKinds.has(caller.kind) && begun.length > 1) {
    add("runs at most once", `${begun.length} runs`);
  }
  if (notRunStatuses.has(caller.status) && runs.length > 0) {
    add("a refusal says not run", `${caller.status} and ${runs.length} runs`);
  }
  const wrong = findWrongAnswer(caller, runs, records.events);
  if (wrong !== undefined) add("the answer is the replica's", wrong);
  const broken = findBrokenAnswer(caller, records.faults);
  if (broken !== undefined) add("answers break only beside faults", broken);
  for (const run of runs) {
    const detail = findOverlongRun(caller, run, records.faults);
    if (detail !== undefined) add("work ends when its caller leaves", detail);
  }
  return findings;
}

/** What is wrong with a caller's answer, whole or not. */
function findWrongAnswer(
  caller: CallerRecord,
  runs: readonly RunRecord[],
  events: number,
): string | undefined {
  const { status, seal, text, isWhole } = caller;
  if (status !== 200) {
    return seal === undefined ? undefined : `status ${status} with a signature`;
  }
  if (!runs.some((run) => seal === `seal-of-${run.replica}`)) {
    return `signature ${seal} of a replica that did not run it`;
  }
  const expected = formatExpectedBody(caller, events);
  if (isWhole && text !== expected) return `a whole answer of other content`;
  if (!expected.startsWith(text)) return `content that is not the replica's`;
  return undefined;
}

/** The body that a replica gives a request. */
export function formatExpectedBody(
  { kind, id }: Pick<CallerRecord, "kind" | "id">,
  events: number,
): string {
  if (kind === "book" || kind === "lookup") return `answer to ${id}`;
  const lines = Array.from(
    { length: events },
    (_, at) => `id: ${at + 1}\ndata: token ${at + 1}\n\n`,
  );
  return lines.join("");
}

/** An answer that is missing or broken with nothing to explain it. */
function findBrokenAnswer(
  caller: CallerRecord,
  faults: readonly FaultSpan[],
): string | undefined {
  if (caller.leftAt !== undefined) return undefined;
  const isBroken = caller.status === 0 || !caller.isWhole ||
    caller.status === 502 || caller.status === 504;
  if (!isBroken) return undefined;
  const isExcused = faults.some((fault) =>
    !fault.isMasked && caller.endedAt >= fault.from &&
    caller.sentAt <= fault.to + afterFaultMs
  );
  return isExcused
    ? undefined
    : `status ${caller.status}, ${caller.isWhole ? "whole" : "broken off"}`;
}

/** A run that may be repeated and goes on although nobody waits for it. */
function findOverlongRun(
  { kind, leftAt }: CallerRecord,
  run: RunRecord,
  faults: readonly FaultSpan[],
): string | undefined {
  if (leftAt === undefined || onceKinds.has(kind)) return undefined;
  const endedAt = run.endedAt ?? Infinity;
  if (endedAt <= leftAt + abandonedMs) return undefined;
  const isExcused = faults.some((fault) =>
    fault.from <= leftAt + abandonedMs && fault.to + afterFaultMs >= leftAt
  );
  return isExcused ? undefined : `${Math.round(endedAt - leftAt)} ms later`;
}

/** Runs that no caller asked for, or that differ from what was asked. */
function checkRuns({ callers, runs }: SoakRecords): readonly Finding[] {
  const byId = new Map(callers.map((caller) => [caller.id, caller]));
  return runs.flatMap((run): Finding[] => {
    const detail = findForeignRun(run, byId.get(run.id));
    return detail === undefined
      ? []
      : [{ promise: "runs are what callers sent", request: run.id, detail }];
  });
}

function findForeignRun(
  run: RunRecord,
  caller: CallerRecord | undefined,
): string | undefined {
  if (caller === undefined) return "no caller sent it";
  if (run.path !== caller.path) return `path ${run.path}`;
  if (run.body !== caller.body) return "another body";
  if (run.hasKey) return "the caller's key was passed on";
  const isPublic = caller.kind === "lookup";
  if (!isPublic && run.tenant !== "garages") return `tenant ${run.tenant}`;
  const isModel = caller.kind === "stream" || caller.kind === "once";
  const service = isModel ? "models" : "booking";
  return run.service === service ? undefined : `run by ${run.service}`;
}

/** Two counts for one window, or two holders with one fencing token. */
function checkUsage({ usage }: SoakRecords): readonly Finding[] {
  const findings: Finding[] = [];
  const counts = new Map<number, string>();
  const holders = new Map<number, string>();
  for (const report of usage) {
    const { window, fencing, holder } = report;
    const previous = counts.get(window);
    if (previous !== undefined && previous !== report.counts) {
      findings.push({
        promise: "one count for a usage window",
        request: "",
        detail: `window ${window}: ${previous}, then ${report.counts}`,
      });
    }
    counts.set(window, report.counts);
    const other = holders.get(fencing);
    if (other !== undefined && other !== holder) {
      findings.push({
        promise: "one holder for a fencing token",
        request: "",
        detail: `token ${fencing}: ${other}, then ${holder}`,
      });
    }
    holders.set(fencing, holder);
  }
  return findings;
}

/** Requests that ran with a key long after it was taken away. */
function checkWithdrawals(
  { callers, runs, withdrawals }: SoakRecords,
): readonly Finding[] {
  const ran = new Set(runs.map((run) => run.id));
  return withdrawals.flatMap(({ key, at }) =>
    callers
      .filter((caller) =>
        caller.key === key && caller.kind !== "lookup" &&
        caller.sentAt > at + withdrawalMs && ran.has(caller.id)
      )
      .map((caller) => ({
        promise: "a withdrawn key no longer works",
        request: caller.id,
        detail: `sent ${Math.round(caller.sentAt - at)} ms later`,
      }))
  );
}

/** Whether the system serves again after its last fault. */
function checkRecovery(
  { callers, faultsEndAt: calmFrom, withdrawals }: SoakRecords,
): readonly Finding[] {
  const withdrawn = new Set(withdrawals.map(({ key }) => key));
  const late = callers.filter((caller) =>
    caller.sentAt > calmFrom + recoveryMs && caller.leftAt === undefined &&
    !withdrawn.has(caller.key)
  );
  const served = late.filter((caller) => caller.status === 200);
  if (served.length >= late.length * servedShare) return [];
  return [{
    promise: "all is served again after the last fault",
    request: late.find((caller) => caller.status !== 200)?.id ?? "",
    detail: `${served.length} of ${late.length} answered`,
  }];
}
