/**
 * Records of small soaks for the tests of the checks.
 */

import { checkPromises, formatExpectedBody } from "./promises.ts";
import type { CallerRecord, RunRecord, SoakRecords } from "./records.ts";
import { tokenTexts } from "./soak_system.ts";

/** Number of events in a complete stream. */
export const events = 4;

/** Texts of the events of both software versions. */
export const [firstText = "", secondText = ""] = tokenTexts;

/** Creates a booking that was answered, with changes. */
export function createCaller(change: Partial<CallerRecord>): CallerRecord {
  const base = { id: "r", kind: "book" as const, ...change };
  return {
    path: "/book/slot",
    body: "b",
    key: "k",
    node: "n",
    sentAt: 100,
    endedAt: 200,
    status: 200,
    seal: "seal-of-booking-1",
    text: formatExpectedBody(base, events, firstText),
    isComplete: true,
    leftAt: undefined,
    isReturn: false,
    promptParts: undefined,
    crashingPart: undefined,
    ...base,
  };
}

/** Creates its run, with changes. */
export function createRun(change: Partial<RunRecord>): RunRecord {
  return {
    replica: "booking-1",
    service: "booking",
    id: "r",
    path: "/book/slot",
    body: "b",
    tenant: "garages",
    hasKey: false,
    isMoved: false,
    startedAt: 120,
    endedAt: 190,
    ...change,
  };
}

/** Lists the promises that records break; by default they hold one booking. */
export function listBrokenPromises(
  records: Partial<SoakRecords>,
): readonly string[] {
  const findings = checkPromises({
    callers: [createCaller({})],
    runs: [createRun({})],
    usage: [],
    faults: [],
    withdrawals: [],
    crashes: [],
    limits: [],
    promptArrivals: [],
    faultsEndAt: 0,
    events,
    ...records,
  });
  return [...new Set(findings.map(({ promise }) => promise))];
}
