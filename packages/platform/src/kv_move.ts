/**
 * Formats of the calls that move a running request between replicas.
 */

import { parseJson, readFields, readNumber, readString } from "./fields.ts";

/** A call to a replica. */
export interface ReplicaCall {
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly body: string;
}

/** Outcome of a move. */
export type MoveOutcome =
  /** The copy is whole; the run has stopped at its source. */
  | {
    readonly kind: "moved";
    readonly handle: string;
    /** Events that the source has made. */
    readonly events: number;
  }
  /** The run has stopped and its memory stays at the source. */
  | { readonly kind: "stopped"; readonly handle: string }
  | { readonly kind: "not_running" }
  | { readonly kind: "busy" }
  | { readonly kind: "failed"; readonly reason: string };

/** Call that copies a run's memory to another replica and stops the run. */
export function formatMove(
  requestId: string,
  destination: string,
): ReplicaCall {
  return {
    method: "POST",
    path: "/kv-move",
    // "last" stops the run before its last part is copied.
    body: JSON.stringify({ id: requestId, to: destination, last: true }),
  };
}

/** Call that frees a copy that will not be used. */
export function formatHandleRelease(handle: string): ReplicaCall {
  return {
    method: "DELETE",
    path: `/kv-handle/${encodeURIComponent(handle)}`,
    body: "",
  };
}

/** Value of the header that continues a moved run. */
export function formatMovedRun(source: string, handle: string): string {
  return `${source}/${handle}`;
}

/** Reads the answer to a move. */
export function parseMove(status: number, text: string): MoveOutcome {
  const fields = readFields(parseJson(text));
  const rawHandle = fields?.["kv-handle"];
  const handle = readString(rawHandle) ??
    (typeof rawHandle === "number" ? String(rawHandle) : undefined);
  switch (status) {
    case 200: {
      if (handle === undefined) {
        return { kind: "failed", reason: "an answer without a handle" };
      }
      // "created" counts events, not tokens.
      return {
        kind: "moved",
        handle,
        events: readNumber(fields?.["created"]) ?? 0,
      };
    }
    case 404:
      return { kind: "not_running" };
    case 409:
      return { kind: "busy" };
    case 503:
      return handle === undefined
        ? { kind: "failed", reason: "no room at the destination" }
        : { kind: "stopped", handle };
    default:
      return { kind: "failed", reason: `status ${status}` };
  }
}
