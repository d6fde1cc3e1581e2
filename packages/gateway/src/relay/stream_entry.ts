/**
 * Lets one stream start, wait in line, or be refused, before it is sent first.
 */

import type { Waiter } from "@almondcrank/routing/admission/urgency_order.ts";
import type { EngineChoice } from "../choice/engine_choice.ts";
import { computeObjectiveShare } from "../choice/stream_admission.ts";
import type { FailureReason } from "./local_reply.ts";
import type { RelayServices } from "./relay_services.ts";
import type { RoutedRequest } from "./routed_request.ts";
import { checkStreamAdmission, recordRefusedWork } from "./stream_choice.ts";
import type { LineEnd, LineStream, PlaceCheck } from "./stream_lines.ts";
import type { StreamSend } from "./stream_segment.ts";

/** Share of the objective for which any stream may wait. */
const minWaitShare = 1 / 8;
/** Longest wait as a share of the objective, so that the rest is left to start. */
const maxWaitShare = 0.6;
/** Longest wait as a share of the time left. */
const maxTimeLeftShare = 0.25;

/** Shortest wait that is logged. */
const leastWaitMs = 1;

/** How a stream chooses a replica and is sent to it. */
export interface StreamStart {
  readonly choose: () => EngineChoice | undefined;
  readonly send: (choice: EngineChoice) => StreamSend;
}

/** What becomes of a stream before its first send. */
export type EntryResult =
  | { readonly kind: "sent"; readonly send: StreamSend }
  | { readonly kind: "no_replica" }
  | { readonly kind: "over" }
  | {
    readonly kind: "refused";
    readonly reason: Extract<FailureReason, "overloaded">;
    readonly retryAfterMs: number;
    /** Whether the time is this stream's own, so that it is not spread further. */
    readonly isAppointment: boolean;
  };

/** Admits a stream that has not been sent. */
export async function enterStream(
  services: RelayServices,
  request: RoutedRequest,
  start: StreamStart,
): Promise<EntryResult> {
  const { service, trace } = request;
  if (service.engine === undefined) {
    return enterUnqueued(services, request, start);
  }
  let latest: EngineChoice | undefined;
  const choose = (): EngineChoice | undefined => latest = start.choose();
  const stream = composeLineStream(services, request, { ...start, choose });
  const end = await services.lines.enter(service.name, stream);
  recordEnd(request, stream, end);
  switch (end.kind) {
    case "started":
      return { kind: "sent", send: end.started };
    case "none":
      return { kind: "no_replica" };
    case "gone":
      return { kind: "over" };
    case "refused":
      if (latest !== undefined) recordRefusedWork(services, request, latest);
      trace.record("refused for want of a place.", {
        reason: end.reason,
        line: end.lineLength,
        retryAfterMs: Math.round(end.retryAfterMs),
      });
      return {
        kind: "refused",
        reason: "overloaded",
        retryAfterMs: end.retryAfterMs,
        isAppointment: true,
      };
  }
}

/** Admits a stream of a service that is no engine: at once or not at all. */
function enterUnqueued(
  services: RelayServices,
  request: RoutedRequest,
  { choose, send }: StreamStart,
): EntryResult {
  const choice = choose();
  if (choice === undefined) return { kind: "no_replica" };
  const verdict = checkStreamAdmission(services, request, choice);
  if (verdict.kind === "admitted") return { kind: "sent", send: send(choice) };
  recordRefusedWork(services, request, choice);
  return {
    kind: "refused",
    reason: "overloaded",
    retryAfterMs: verdict.retryAfterMs,
    isAppointment: false,
  };
}

function composeLineStream(
  services: RelayServices,
  request: RoutedRequest,
  { choose, send }: StreamStart,
): LineStream<EngineChoice, StreamSend> {
  const { route, tenant, service, callerSignal, deadline } = request;
  const now = services.clock.now();
  const key = computeKey(request);
  return {
    tenantPriority: tenant?.priority ?? route.priority,
    routePriority: route.priority,
    tenant: tenant?.name ?? "",
    isReturning: services.lines.takeReturn(service.name, key),
    tokens: request.promptTokens,
    enteredAt: now,
    latestStartAt: now + computeLongestWaitMs(request, now),
    key,
    deadline,
    callerSignal,
    check: () => checkPlace(services, request, choose()),
    start: send,
  };
}

function checkPlace(
  services: RelayServices,
  request: RoutedRequest,
  choice: EngineChoice | undefined,
): PlaceCheck<EngineChoice> {
  if (choice === undefined) return { kind: "none" };
  const replica = choice.state.key;
  const verdict = checkStreamAdmission(services, request, choice);
  return verdict.kind === "admitted"
    ? { kind: "free", place: choice, replica }
    : { kind: "taken", placeInMs: verdict.excessMs, replica };
}

/** Computes how long a stream may wait and still begin by its objective. */
function computeLongestWaitMs(
  { route, deadline, resumeAfter }: RoutedRequest,
  now: number,
): number {
  const timeLeftMs = Math.max(0, deadline - now) * maxTimeLeftShare;
  if (resumeAfter !== undefined) return timeLeftMs;
  const share = Math.max(
    minWaitShare,
    Math.min(maxWaitShare, 1 - computeObjectiveShare(route.priority)),
  );
  return Math.min(timeLeftMs, route.objectiveMs * share);
}

/**
 * Identifies a request in its next attempt, which has another id: by its tenant, its
 * path and the part of its prompt that is its own.
 */
function computeKey(
  { tenant, path, promptParts }: RoutedRequest,
): string | undefined {
  const own = promptParts.at(-1);
  if (own === undefined) return undefined;
  return `${tenant?.name ?? ""} ${path} ${own.id}`;
}

function recordEnd(
  { trace }: RoutedRequest,
  { isReturning, enteredAt, latestStartAt }: Waiter,
  end: LineEnd<StreamSend>,
): void {
  if (end.kind === "none" || end.waitedMs < leastWaitMs) return;
  trace.record("waited for a place.", {
    end: end.kind,
    waitedMs: Math.round(end.waitedMs),
    longestMs: Math.round(latestStartAt - enteredAt),
    isReturning,
  });
}
