/**
 * Answers refusals over HTTP.
 */

import type { ServerResponse } from "node:http";
import {
  type BodyError,
  discardBody,
  type HttpExchange,
  sendJson,
} from "@almondcrank/common/http_server.ts";
import type {
  Refusal,
  RefusalDetail,
  RefusalKind,
} from "@almondcrank/routing/admission/refusal.ts";
import { formatError } from "./chat_protocol.ts";

const millisecondsPerSecond = 1_000;

/** HTTP status of each refusal. */
export function findStatus(kind: RefusalKind): number {
  switch (kind) {
    case "over_limit":
      return 429;
    case "overload":
    case "no_endpoint":
    case "draining":
    case "claims_unavailable":
      return 503;
    case "deadline":
      return 504;
    case "outcome_unknown":
    case "endpoint_failed":
      return 502;
    case "bad_key":
      return 422;
    case "stream_lost":
      return 410;
  }
}

/** Answers a refusal; `Retry-After` is in whole seconds, rounded up. */
export function sendRefusal(response: ServerResponse, refusal: Refusal): void {
  const { detail } = refusal;
  sendError(response, {
    status: findStatus(detail.kind),
    body: formatError(detail),
    headers: formatRetryHeaders(detail),
  });
}

function formatRetryHeaders(
  detail: RefusalDetail,
): Readonly<Record<string, string>> {
  const headers: Record<string, string> = { "x-run": detail.run };
  if (detail.retryAfterMs !== undefined) {
    const seconds = Math.ceil(detail.retryAfterMs / millisecondsPerSecond);
    headers["retry-after"] = String(Math.max(1, seconds));
    headers["retry-after-ms"] = String(Math.ceil(detail.retryAfterMs));
  }
  return headers;
}

/** Answers a request that is wrong in itself. */
export function sendBadRequest(
  response: ServerResponse,
  error: {
    readonly status: number;
    readonly kind: string;
    readonly message: string;
  },
): void {
  sendError(response, { status: error.status, body: formatError(error) });
}

/** Answers a request whose body cannot be used. */
export function sendBodyError(exchange: HttpExchange, error: BodyError): void {
  sendBadRequest(exchange.response, {
    status: error.kind === "body_too_large" ? 413 : 400,
    kind: error.kind,
    message: error.message,
  });
}

/**
 * Sends an error that may come before the request's body has arrived.
 *
 * Announcing the end of the connection would close it with unread bytes; the
 * rest of the body passes instead, and the connection ends with it.
 */
function sendError(
  response: ServerResponse,
  error: {
    readonly status: number;
    readonly body: object;
    readonly headers?: Readonly<Record<string, string>>;
  },
): void {
  const request = response.req;
  if (!request.complete) {
    response.removeHeader("connection");
    response.shouldKeepAlive = true;
  }
  sendJson(response, error.status, { error: error.body }, error.headers);
  discardBody(request);
}
