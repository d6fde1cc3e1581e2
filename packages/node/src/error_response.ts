/**
 * HTTP responses for refusals and for requests that are invalid.
 */

import type { ServerResponse } from "node:http";
import {
  type BodyError,
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

/** HTTP status of a kind of refusal. */
export function findStatus(kind: RefusalKind): number {
  switch (kind) {
    case "over_limit":
      return 429;
    case "overload":
    case "no_endpoint":
    case "quarantined":
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

/**
 * Sends a refusal. `x-run` tells whether the request ran; `Retry-After` is in
 * whole seconds, rounded up and at least 1, `Retry-After-Ms` in milliseconds.
 */
export function sendRefusal(response: ServerResponse, refusal: Refusal): void {
  const { detail } = refusal;
  sendError(response, {
    status: findStatus(detail.kind),
    body: formatError(detail),
    headers: formatRetryHeaders(detail),
  });
}

function formatRetryHeaders(
  detail: Pick<RefusalDetail, "run" | "retryAfterMs">,
): Readonly<Record<string, string>> {
  const headers: Record<string, string> = { "x-run": detail.run };
  if (detail.retryAfterMs !== undefined) {
    const seconds = Math.ceil(detail.retryAfterMs / millisecondsPerSecond);
    headers["retry-after"] = String(Math.max(1, seconds));
    headers["retry-after-ms"] = String(Math.ceil(detail.retryAfterMs));
  }
  return headers;
}

/** Sends the error for a request that is invalid and did not run. */
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

/** Sends the error for a request body that cannot be used. */
export function sendBodyError(exchange: HttpExchange, error: BodyError): void {
  const { detail, message } = error;
  if (detail.kind === "memory_short") {
    const refusal = { ...detail, message, run: "not_run" } as const;
    return sendError(exchange.response, {
      status: 503,
      body: formatError(refusal),
      headers: formatRetryHeaders(refusal),
    });
  }
  sendBadRequest(exchange.response, {
    status: detail.kind === "body_too_large" ? 413 : 400,
    kind: detail.kind,
    message,
  });
}

/** Sends an error, possibly before the whole request body has arrived. */
function sendError(
  response: ServerResponse,
  error: {
    readonly status: number;
    readonly body: object;
    readonly headers?: Readonly<Record<string, string>>;
  },
): void {
  sendJson(response, error.status, { error: error.body }, error.headers);
}
