/**
 * Composes an admitted request from the caller's message.
 */

import type { IncomingMessage } from "node:http";
import {
  lastEventIdHeader,
  lengthHintHeader,
  parseLengthHint,
  parsePromptParts,
  parseTokenCount,
  promptPartsHeader,
  remainingTimeHeader,
  requestIdHeader,
  resumedRequestHeader,
  tokenCountHeader,
} from "@almondcrank/platform/headers.ts";
import { computeEnginePriority } from "@almondcrank/routing/admission/engine_priority.ts";
import { listForwardedHeaders } from "./message_headers.ts";
import { readHeader, type Routed } from "./request_admission.ts";
import type { RoutedRequest } from "./routed_request.ts";
import { maxTimerMs } from "./timer_ms.ts";

/** Time limit of a request: the caller's, at most the route's timeout. */
export function computeTimeoutMs(
  request: IncomingMessage,
  { route }: Routed,
): number {
  const headerMs = Number(readHeader(request, remainingTimeHeader));
  const callerMs = Number.isFinite(headerMs) && headerMs > 0
    ? headerMs
    : Infinity;
  return Math.min(callerMs, route.timeoutMs, maxTimerMs);
}

/** Composes a request from its message and what was decided on it. */
export function composeRequest(
  request: IncomingMessage,
  { route, service, tenant }: Routed,
  rest: Pick<
    RoutedRequest,
    | "body"
    | "receivedAt"
    | "deadline"
    | "callerSignal"
    | "trace"
    | "suspects"
    | "resumedVersion"
    | "versionDraw"
    | "isHanded"
  >,
): RoutedRequest {
  const count = parseTokenCount(readHeader(request, tokenCountHeader));
  const promptParts = parsePromptParts(readHeader(request, promptPartsHeader));
  const resumeAfter = Number(readHeader(request, lastEventIdHeader));
  const priority = computeEnginePriority({
    tenantPriority: tenant?.priority,
    routePriority: route.priority,
  });
  return {
    ...rest,
    id: readHeader(request, requestIdHeader),
    route,
    service,
    tenant,
    priority,
    method: request.method ?? "GET",
    path: request.url ?? "/",
    headers: listForwardedHeaders(request, rest.body.length),
    received: { headers: request.headers, rawHeaders: request.rawHeaders },
    promptParts,
    promptTokens: count?.prompt ??
      promptParts.reduce((sum, part) => sum + part.tokens, 0),
    maxOutputTokens: count?.maxOutput,
    hintedOutputTokens: parseLengthHint(readHeader(request, lengthHintHeader)),
    resumeAfter: Number.isInteger(resumeAfter) ? resumeAfter : undefined,
    resumedRequest: readHeader(request, resumedRequestHeader),
  };
}
