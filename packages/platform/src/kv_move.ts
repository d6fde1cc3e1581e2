/**
 * Formats of the calls that move a running request, with its KV cache, between
 * replicas. A run is one request in progress on an engine.
 */

import { parseJson, readFields, readNumber, readString } from "./fields.ts";

/** An HTTP call to a replica. */
export interface ReplicaCall {
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly body: string;
}

/** Outcome of a move. */
export type MoveOutcome =
  /** The KV cache is copied, and the run has stopped at its source. */
  | {
    readonly kind: "moved";
    readonly handle: string;
    /** Number of events that the source has generated. */
    readonly events: number;
  }
  /** The run has stopped, and its KV cache remains at the source. */
  | { readonly kind: "stopped"; readonly handle: string }
  | { readonly kind: "not_running" }
  | { readonly kind: "busy" }
  | { readonly kind: "failed"; readonly reason: string };

/** Formats the call that copies a run's KV cache to a replica and stops the run. */
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

/** Formats the call that frees a copied KV cache that will not be used. */
export function formatHandleRelease(handle: string): ReplicaCall {
  return {
    method: "DELETE",
    path: `/kv-handle/${encodeURIComponent(handle)}`,
    body: "",
  };
}

/** Formats the value of `movedRunHeader`, which resumes a moved run. */
export function formatMovedRun(source: string, handle: string): string {
  return `${source}/${handle}`;
}

/** Handles go into a header, so they have only visible characters. */
const handlePattern = /^[\x21-\x7e]+$/;

function readHandle(value: unknown): string | undefined {
  const handle = typeof value === "number" ? String(value) : readString(value);
  return handle !== undefined && handlePattern.test(handle)
    ? handle
    : undefined;
}

/** Parses the answer to a move call. */
export function parseMove(status: number, text: string): MoveOutcome {
  const fields = readFields(parseJson(text));
  const handle = readHandle(fields?.["kv-handle"]);
  switch (status) {
    case 200: {
      if (handle === undefined) {
        return { kind: "failed", reason: "the answer has no handle" };
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
