/**
 * Answers that the node gives itself.
 *
 * Statuses 429 and 503 promise that the request has not run and will not; 502
 * and 504 promise nothing. Every refusal that makes sense to repeat says when.
 */

import type { ServerResponse } from "node:http";

/** Why the node answers itself; labels the counter of refusals. */
export type LocalReplyReason =
  | "no_configuration"
  | "stale_configuration"
  | "draining"
  | "no_route"
  | "unknown_key"
  | "no_service"
  | "body_too_large"
  | "body_timeout"
  | "over_allowance"
  | "no_replica"
  | "overloaded"
  | "declined"
  | "answer_lost"
  | "out_of_time";

/** An answer of the node's own. */
export interface LocalReply {
  readonly status: 401 | 404 | 408 | 413 | 429 | 502 | 503 | 504;
  readonly reason: LocalReplyReason;
  /** What happened and what the caller can do. */
  readonly message: string;
  /** Time after which it makes sense to come back. */
  readonly retryAfterMs?: number;
}

const messages: Readonly<Record<LocalReplyReason, string>> = {
  no_configuration: "this node has no configuration yet; try again",
  stale_configuration:
    "this node cannot check keys at present; try another node",
  draining: "this node is shutting down; try another one",
  no_route: "no route matches this host and path; correct the address",
  unknown_key: "the key is not known; use a key of a configured tenant",
  no_service: "the route names no known service; try again",
  body_too_large: "the body is over the limit; send less",
  body_timeout: "the body did not arrive in time; send it again",
  over_allowance: "the tenant is over its allowance; come back later",
  no_replica: "no replica is ready; the request has not run",
  overloaded: "the service cannot answer in time; the request has not run",
  declined: "the replicas are full; the request has not run",
  answer_lost: "the replica's answer was lost; the request may have run",
  out_of_time: "the time for this request is over; it may have run",
};

/** Composes an answer from its reason. */
export function composeLocalReply(
  status: LocalReply["status"],
  reason: LocalReplyReason,
  retryAfterMs?: number,
): LocalReply {
  const message = messages[reason];
  return retryAfterMs === undefined
    ? { status, reason, message }
    : { status, reason, message, retryAfterMs };
}

/** Why a request got no answer of a replica. */
export type FailureReason =
  | "no_replica"
  | "overloaded"
  | "declined"
  | "answer_lost"
  | "out_of_time";

/** Composes the final answer to a request that no replica answered. */
export function composeFailureReply(
  reason: FailureReason,
  { mayHaveRun, retryAfterMs }: {
    readonly mayHaveRun: boolean;
    /** When to come back, for a request that surely did not run. */
    readonly retryAfterMs: number;
  },
): LocalReply {
  if (!mayHaveRun) {
    const kind = reason === "answer_lost" ? "declined" : reason;
    return composeLocalReply(503, kind, retryAfterMs);
  }
  return reason === "out_of_time"
    ? composeLocalReply(504, "out_of_time")
    : composeLocalReply(502, "answer_lost");
}

/** Writes an answer, unless the response has begun or its caller has left. */
export function sendLocalReply(
  response: ServerResponse,
  answer: LocalReply,
): void {
  if (response.headersSent || response.destroyed) return;
  const body = JSON.stringify({
    kind: answer.reason,
    message: answer.message,
  });
  const headers: Record<string, string> = {
    "Content-Type": "application/json",
    "Content-Length": String(Buffer.byteLength(body)),
  };
  if (answer.retryAfterMs !== undefined) {
    headers["Retry-After"] = (answer.retryAfterMs / 1_000).toFixed(2);
  }
  response.writeHead(answer.status, headers);
  response.end(body);
}
