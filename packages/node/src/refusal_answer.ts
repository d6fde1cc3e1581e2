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
} from "@almondcrank/routing/refusal.ts";
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
  sendJson(
    response,
    findStatus(detail.kind),
    { error: formatError(detail) },
    formatRetryHeaders(detail),
  );
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
  sendJson(response, error.status, { error: formatError(error) });
}

/** Answers a request whose body cannot be used. */
export function sendBodyError(exchange: HttpExchange, error: BodyError): void {
  const { response } = exchange;
  // Without this, a connection would be closed before the rest was read.
  if (!exchange.request.complete) response.shouldKeepAlive = true;
  sendBadRequest(response, {
    status: error.kind === "body_too_large" ? 413 : 400,
    kind: error.kind,
    message: error.message,
  });
  discardBody(exchange);
}
