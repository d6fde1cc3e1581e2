/**
 * Formats of the questions that a replica answers about itself. They carry no
 * request id, so that no replica takes one for a request to run.
 */

import { parseJson, readFields, readNumber } from "./fields.ts";
import type { ReplicaCall } from "./kv_move.ts";

/** Formats the question for a replica's report, which needs no slot. */
export function formatReportCall(): ReplicaCall {
  return { method: "GET", path: "/report", body: "" };
}

/** Formats the question whether a replica considers itself healthy. */
export function formatHealthCall(path: string): ReplicaCall {
  return { method: "GET", path, body: "" };
}

/**
 * Parses the wall-clock time at which the replica started that made a report, in
 * milliseconds; `undefined` if it doesn't state one.
 */
export function parseReportedStart(text: string): number | undefined {
  return readNumber(readFields(parseJson(text))?.["born"]);
}
