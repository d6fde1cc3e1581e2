/**
 * Local replies: responses that the gateway generates itself.
 *
 * Statuses 429 and 503 guarantee that the request has not run and will not; 502
 * and 504 guarantee nothing. Refusals worth retrying carry `Retry-After`.
 */

import type { ServerResponse } from "node:http";
import {
  sendLast,
  sendWhole,
  type WholeAnswer,
} from "@almondcrank/common/ending_connections.ts";

/** Reason of a local reply; also the `reason` label of `refusals_total`. */
export type LocalReplyReason =
  | "no_configuration"
  | "stale_configuration"
  | "draining"
  | "malformed_request"
  | "no_route"
  | "unknown_key"
  | "no_service"
  | "body_too_large"
  | "body_timeout"
  | "memory_short"
  | "over_allowance"
  | "no_replica"
  | "replica_limits"
  | "overloaded"
  | "quarantined"
  | "unknown_origin"
  | "versions_not_read"
  | "version_gone"
  | "declined"
  | "answer_lost"
  | "out_of_time";

/** A response that the gateway generates itself. */
export interface LocalReply {
  readonly status: 400 | 401 | 404 | 408 | 413 | 429 | 502 | 503 | 504;
  readonly reason: LocalReplyReason;
  /** States what happened and what the caller can do. */
  readonly message: string;
  /** Time after which a retry makes sense. */
  readonly retryAfterMs?: number;
}

const messages: Readonly<Record<LocalReplyReason, string>> = {
  no_configuration: "this node has no configuration yet; try again",
  stale_configuration:
    "this node cannot check keys at present; try another node",
  draining: "this node is shutting down; try another one",
  malformed_request:
    "the path or a header of the request is not HTTP; correct it",
  no_route: "no route matches this host and path; correct the address",
  unknown_key: "unknown key; use a key of a configured tenant",
  no_service: "the service of this route is not configured; try again",
  body_too_large: "the request body exceeds the limit; send a smaller one",
  body_timeout:
    "the request body did not arrive in time; send the request again",
  memory_short:
    "the bodies of other requests leave no memory for this one; it has not run, " +
    "try again later",
  over_allowance: "the tenant has exceeded its allowance; try again later",
  no_replica:
    "no replica takes requests now; the request has not run, try again",
  replica_limits:
    "the replicas are at the limits of requests that they named; the request has " +
    "not run, try again later",
  overloaded:
    "the service is overloaded; the request has not run, try again later",
  quarantined:
    "replicas have crashed under this request or a part of its prompt; it has not " +
    "run, change it or send it much later",
  unknown_origin:
    "it is not known which software version began this stream, or this route " +
    "no longer has it; send the request again without Last-Event-ID",
  versions_not_read:
    "this node has just started or was cut off, and does not know yet which " +
    "software version began this stream; the request has not run, try again",
  version_gone:
    "no replica of the software version that began this stream takes requests; " +
    "send the request again without Last-Event-ID",
  declined: "no replica accepted the request; it has not run, try again later",
  answer_lost: "the response of the replica was lost; the request may have run",
  out_of_time: "the deadline of the request passed; it may have run",
};

/** Composes a local reply with the message of its reason. */
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

/** Why no replica answered a request. */
export type FailureReason =
  | "no_replica"
  | "replica_limits"
  | "overloaded"
  | "version_gone"
  | "declined"
  | "answer_lost"
  | "out_of_time";

/**
 * Composes the final reply to a request that no replica answered: 503 if it
 * certainly did not run, else 504 when out of time and 502 otherwise.
 */
export function composeFailureReply(
  reason: FailureReason,
  { mayHaveRun, retryAfterMs }: {
    readonly mayHaveRun: boolean;
    /** Suggested retry delay, for a request that certainly did not run. */
    readonly retryAfterMs: number;
  },
): LocalReply {
  if (!mayHaveRun) {
    const kind = reason === "answer_lost" ? "declined" : reason;
    // A version that is gone rarely comes back: the caller begins anew at once.
    return kind === "version_gone"
      ? composeLocalReply(503, kind)
      : composeLocalReply(503, kind, retryAfterMs);
  }
  return reason === "out_of_time"
    ? composeLocalReply(504, "out_of_time")
    : composeLocalReply(502, "answer_lost");
}

/** Sends a reply unless the response has started or the caller is gone. */
export function sendLocalReply(
  response: ServerResponse,
  reply: LocalReply,
): void {
  sendWhole(response, composeAnswer(reply));
}

/** Sends a reply to a request whose body is not read, and ends its connection. */
export function sendUnreadReply(
  response: ServerResponse,
  reply: LocalReply,
): void {
  sendLast(response, composeAnswer(reply));
}

function composeAnswer(reply: LocalReply): WholeAnswer {
  const body = JSON.stringify({
    kind: reply.reason,
    message: reply.message,
  });
  const headers: Record<string, string> = {
    "Content-Type": "application/json",
    "Content-Length": String(Buffer.byteLength(body)),
  };
  if (reply.retryAfterMs !== undefined) {
    headers["Retry-After"] = (reply.retryAfterMs / 1_000).toFixed(2);
  }
  return { status: reply.status, headers, body };
}
