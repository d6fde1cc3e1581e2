/**
 * Checks a soak's records against the promises in the user documentation.
 *
 * Each finding names its request, whose entries in the nodes' logs
 * `almondcrank explain` shows.
 */

import type {
  CallerRecord,
  FaultSpan,
  Finding,
  RequestKind,
  RunRecord,
  SoakRecords,
} from "./records.ts";
import { checkLimits } from "./limit_promises.ts";
import {
  checkReplicaPromises,
  faultEffectMs,
  isBrokenAnswer,
} from "./replica_promises.ts";
import { tokenTexts } from "./soak_system.ts";
import { findOrderBreak, type OrderBreak } from "./stream_order.ts";

/** Statuses that promise that the request has not run and will not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Kinds of requests that must not run more than once. */
const atMostOnceKinds: ReadonlySet<RequestKind> = new Set(["once", "book"]);
/** Time after a withdrawal from which on no node may accept the key. */
const withdrawalLimitMs = 5_000;
/** Time within which a run must end after its caller has left. */
const cancellationMs = 1_500;
/** Time after the last fault from which on requests must be served. */
const recoveryMs = 6_000;
/** Share of those requests that must be answered 200. */
const minServedShare = 0.95;

/** The promise that answers are whole and those of their replicas. */
export const answerPromise = "the answer is the replica's";

/** Checks all promises; returns the broken ones. */
export function checkPromises(records: SoakRecords): readonly Finding[] {
  const runs = groupRunsById(records.runs);
  return [
    ...records.callers.flatMap((caller) =>
      checkRequest(caller, runs.get(caller.id) ?? [], records)
    ),
    ...checkRuns(records),
    ...checkUsage(records),
    ...checkWithdrawals(records),
    ...checkRecovery(records),
    ...checkReplicaPromises(records),
    ...checkLimits(records),
  ];
}

function groupRunsById(
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
  const startedRuns = runs.filter((run) => !run.isMoved);
  if (atMostOnceKinds.has(caller.kind) && startedRuns.length > 1) {
    add("runs at most once", `${startedRuns.length} runs`);
  }
  if (notRunStatuses.has(caller.status) && runs.length > 0) {
    add("a refusal says not run", `${caller.status} and ${runs.length} runs`);
  }
  const wrong = findWrongAnswer(caller, runs, records.events);
  if (wrong !== undefined) {
    const orderBreak = findStreamBreak(caller, records.events);
    const detail = orderBreak === undefined ? wrong : `${wrong}: ${orderBreak}`;
    const promise = answerPromise;
    findings.push({ promise, request: caller.id, detail, orderBreak });
  }
  const broken = findBrokenAnswer(caller, records.faults);
  if (broken !== undefined) add("answers break only beside faults", broken);
  for (const run of runs) {
    const detail = findAbandonedRun(caller, run, records.faults);
    if (detail !== undefined) add("work ends when its caller leaves", detail);
  }
  return findings;
}

/** Finds what is wrong with the events of a stream, if the answer is one. */
function findStreamBreak(
  { kind, status, text, isComplete }: CallerRecord,
  events: number,
): OrderBreak | undefined {
  if (status !== 200 || (kind !== "stream" && kind !== "once")) {
    return undefined;
  }
  return findOrderBreak(text, { events, isComplete });
}

/** Describes how an answer differs from the replica's, if it does. */
function findWrongAnswer(
  caller: CallerRecord,
  runs: readonly RunRecord[],
  events: number,
): string | undefined {
  const { status, seal, text, isComplete } = caller;
  if (status !== 200) {
    return seal === undefined ? undefined : `status ${status} with a signature`;
  }
  if (!runs.some((run) => seal === `seal-of-${run.replica}`)) {
    return `signature ${seal} of a replica that did not run it`;
  }
  // A stream holds events of one software version only.
  const expected = tokenTexts
    .map((tokenText) => formatExpectedBody(caller, events, tokenText))
    .find((body, at) =>
      at === tokenTexts.length - 1 || body.startsWith(text)
    ) ??
    "";
  if (isComplete && text !== expected) return `complete, with other content`;
  if (!expected.startsWith(text)) return `content that is not the replica's`;
  return undefined;
}

/**
 * Formats the body of a replica's answer; `events` is the length of a stream.
 *
 * @param tokenText Text of each event, before its number.
 */
export function formatExpectedBody(
  { kind, id }: Pick<CallerRecord, "kind" | "id">,
  events: number,
  tokenText: string,
): string {
  if (kind === "book" || kind === "lookup") return `answer to ${id}`;
  const lines = Array.from(
    { length: events },
    (_, at) => `id: ${at + 1}\ndata: ${tokenText} ${at + 1}\n\n`,
  );
  return lines.join("");
}

/**
 * Describes an answer that is missing or broken without a fault as its cause.
 */
function findBrokenAnswer(
  caller: CallerRecord,
  faults: readonly FaultSpan[],
): string | undefined {
  if (caller.leftAt !== undefined || !isBrokenAnswer(caller)) return undefined;
  // Nothing is promised for requests that crash replicas.
  if (caller.crashingPart !== undefined) return undefined;
  const isExcused = faults.some((fault) =>
    !fault.isMasked && caller.endedAt >= fault.from &&
    caller.sentAt <= fault.to + faultEffectMs
  );
  return isExcused
    ? undefined
    : `status ${caller.status}, ${caller.isComplete ? "complete" : "cut"}`;
}

/**
 * Describes a run that continued too long after its caller left.
 *
 * Only requests that may run more than once are checked.
 */
function findAbandonedRun(
  { kind, leftAt }: CallerRecord,
  run: RunRecord,
  faults: readonly FaultSpan[],
): string | undefined {
  if (leftAt === undefined || atMostOnceKinds.has(kind)) return undefined;
  const endedAt = run.endedAt ?? Infinity;
  if (endedAt <= leftAt + cancellationMs) return undefined;
  const isExcused = faults.some((fault) =>
    fault.from <= leftAt + cancellationMs && fault.to + faultEffectMs >= leftAt
  );
  return isExcused ? undefined : `${Math.round(endedAt - leftAt)} ms later`;
}

/** Finds runs that no caller requested or that differ from the request. */
function checkRuns({ callers, runs }: SoakRecords): readonly Finding[] {
  const byId = new Map(callers.map((caller) => [caller.id, caller]));
  return runs.flatMap((run): Finding[] => {
    const detail = findRunMismatch(run, byId.get(run.id));
    return detail === undefined
      ? []
      : [{ promise: "runs are what callers sent", request: run.id, detail }];
  });
}

function findRunMismatch(
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

/** Finds windows with two counts and fencing tokens with two holders. */
function checkUsage({ usage }: SoakRecords): readonly Finding[] {
  const findings: Finding[] = [];
  const counts = new Map<number, string>();
  const holders = new Map<number, string>();
  for (const report of usage) {
    const { window, fencingToken, holder } = report;
    const previous = counts.get(window);
    if (previous !== undefined && previous !== report.counts) {
      findings.push({
        promise: "one count for a usage window",
        request: "",
        detail: `window ${window}: ${previous}, then ${report.counts}`,
      });
    }
    counts.set(window, report.counts);
    const other = holders.get(fencingToken);
    if (other !== undefined && other !== holder) {
      findings.push({
        promise: "one holder for a fencing token",
        request: "",
        detail: `token ${fencingToken}: ${other}, then ${holder}`,
      });
    }
    holders.set(fencingToken, holder);
  }
  return findings;
}

/** Finds requests that ran although their key had been withdrawn. */
function checkWithdrawals(
  { callers, runs, withdrawals }: SoakRecords,
): readonly Finding[] {
  const ran = new Set(runs.map((run) => run.id));
  return withdrawals.flatMap(({ key, at }) =>
    callers
      .filter((caller) =>
        caller.key === key && caller.kind !== "lookup" &&
        caller.sentAt > at + withdrawalLimitMs && ran.has(caller.id)
      )
      .map((caller) => ({
        promise: "a withdrawn key no longer works",
        request: caller.id,
        detail: `sent ${Math.round(caller.sentAt - at)} ms later`,
      }))
  );
}

/** Checks that the system serves again after the last fault. */
function checkRecovery(
  { callers, faultsEndAt, withdrawals }: SoakRecords,
): readonly Finding[] {
  const withdrawn = new Set(withdrawals.map(({ key }) => key));
  const late = callers.filter((caller) =>
    caller.sentAt > faultsEndAt + recoveryMs && caller.leftAt === undefined &&
    !withdrawn.has(caller.key)
  );
  const served = late.filter((caller) => caller.status === 200);
  if (served.length >= late.length * minServedShare) return [];
  return [{
    promise: "all is served again after the last fault",
    request: late.find((caller) => caller.status !== 200)?.id ?? "",
    detail: `${served.length} of ${late.length} answered`,
  }];
}
