/**
 * One send of a call to one replica, with its whole answer.
 */

import type { IncomingMessage } from "node:http";
import { endsWithConnection } from "@almondcrank/common/answer_framing.ts";
import { signatureHeader } from "@almondcrank/platform/headers.ts";
import type { ReplicaState } from "../choice/replica_state.ts";
import type { BufferedResponse } from "./buffered_response.ts";
import { checkConnectionEnd } from "./connection_end_check.ts";
import type { CrashRecorder } from "./crash_recorder.ts";
import type { RelayServices } from "./relay_services.ts";
import type { SendOutcome } from "./replica_request.ts";
import { readResponseBody } from "./response_body.ts";
import { computeTimerMs } from "./timer_ms.ts";
import type { RoutedRequest } from "./routed_request.ts";

const serverErrorWeight = 0.4;

/** Outcome of one send, including the body of the response. */
export type SendResult =
  | BufferedResponse & {
    readonly kind: "whole";
    /** Monotonic time at which it had arrived, in milliseconds. */
    readonly arrivedAt: number;
  }
  | { readonly kind: "not_sent" | "declined" }
  | {
    readonly kind: "lost";
    /** Whether this node had no room for the answer; the replica is sound. */
    readonly hasNoRoom?: boolean;
  };

/** Why a send is ended by this node; only silence speaks against the replica. */
export type CancelReason = "silent" | "not_needed";

/** A send on its way. */
export interface CallSend {
  /** Never rejects. */
  readonly result: Promise<SendResult>;
  /** Ends the send, unless it has ended. */
  cancel(reason: CancelReason): void;
}

/** What is sent, and where its outcome is recorded. */
export interface CallSendOptions {
  readonly services: RelayServices;
  readonly request: RoutedRequest;
  readonly crashes: CrashRecorder;
  readonly state: ReplicaState;
}

/** Sends a call to a replica. */
export function openCallSend(options: CallSendOptions): CallSend {
  const { services, request, state } = options;
  const { sender, clock } = services;
  const { route, deadline, callerSignal } = request;
  const aborter = new AbortController();
  const abort = (): void => aborter.abort("silent" satisfies CancelReason);
  const leave = (): void => aborter.abort("not_needed" satisfies CancelReason);
  // A request that must not run twice is not aborted when its caller leaves.
  if (route.kind === "safe") callerSignal.addEventListener("abort", leave);
  const startedAt = clock.now();
  let hasEnded = false;
  const timer = setTimeout(abort, computeTimerMs(deadline - startedAt));
  const pendingSend = sender.send(request, state, {
    signal: aborter.signal,
    uncachedTokens: 0,
  });
  const result = pendingSend.outcome
    .then((outcome) => readResult(options, outcome, aborter.signal))
    .finally(() => {
      hasEnded = true;
      clearTimeout(timer);
      callerSignal.removeEventListener("abort", leave);
      pendingSend.end();
    });
  void result.then((ended) => {
    const { kind } = ended;
    const endedAt = clock.now();
    if (ended.kind === "whole") {
      const answerMs = ended.arrivedAt - startedAt;
      state.recordServiceTime(answerMs, endedAt);
      const hasFailed = (ended.response.statusCode ?? 0) >= 500;
      recordCallAnswer(options, hasFailed, hasFailed ? undefined : answerMs);
    }
    if (kind === "lost" && aborter.signal.reason === "silent") {
      state.failures.record(true, endedAt);
      recordCallAnswer(options, false, endedAt - startedAt);
    }
  });
  const cancel = (reason: CancelReason): void => {
    if (!hasEnded) aborter.abort(reason);
  };
  return { result, cancel };
}

async function readResult(
  options: CallSendOptions,
  outcome: SendOutcome,
  signal: AbortSignal,
): Promise<SendResult> {
  const result: SendResult = outcome.kind === "answered"
    ? await readResponse(options, outcome.response, signal)
    : { kind: outcome.kind };
  const { request, state } = options;
  request.trace.record("send ended.", {
    replica: state.replica.id,
    outcome: result.kind,
    reason: "reason" in outcome ? outcome.reason : undefined,
    status: result.kind === "whole" ? result.response.statusCode : undefined,
    hasNoRoom: result.kind === "lost" ? result.hasNoRoom : undefined,
  });
  if (!signal.aborted) recordEnd(options, outcome, result);
  return result;
}

async function readResponse(
  { services, request, state }: CallSendOptions,
  response: IncomingMessage,
  signal: AbortSignal,
): Promise<SendResult> {
  const { clock, runs, answers } = services;
  runs.recordRun(request.tenant?.name);
  const read = await readResponseBody(response, answers);
  const arrivedAt = clock.now();
  const isSigned = response.headers[signatureHeader] !== undefined;
  const ended = { request, state, kind: "call", events: 0, signal } as const;
  const isWhole = read.kind === "whole" && isSigned &&
    (!endsWithConnection(response, request.method) ||
      await checkConnectionEnd(services, ended));
  // An answer without a signature is a failure, one that was cut off is not: the
  // replica may have crashed.
  if (read.kind === "whole" && !isSigned) {
    recordCallAnswer({ services, request, state }, true, undefined);
  }
  const isServerError = (response.statusCode ?? 0) >= 500;
  const now = clock.now();
  if (read.kind === "no_room") {
    services.metrics.count("answers_without_room_total");
    return { kind: "lost", hasNoRoom: true };
  }
  if (!isWhole) {
    if (read.kind === "whole") read.share.release();
    state.failures.record(true, now);
    return { kind: "lost" };
  }
  state.failures.record(isServerError, now, serverErrorWeight);
  return { response, ...read, arrivedAt };
}

/** Records an answer, or that none came, for the comparison of versions. */
function recordCallAnswer(
  { services, request, state }: Omit<CallSendOptions, "crashes">,
  hasFailed: boolean,
  time: number | undefined,
): void {
  const route = request.route.name;
  const answer = { route, measure: "whole", hasFailed, time };
  services.gate.recordAnswer(state, answer);
}

/** Whether a response that is not whole was cut off, rather than not signed. */
function isCutOff(response: IncomingMessage, method: string): boolean {
  if (!response.complete) return true;
  const isSigned = response.headers[signatureHeader] !== undefined;
  return isSigned && endsWithConnection(response, method);
}

/** Records for the quarantine how a run ended that this node did not end. */
function recordEnd(
  { crashes, request, state }: CallSendOptions,
  outcome: SendOutcome,
  result: SendResult,
): void {
  if (result.kind === "whole" && result.response.statusCode === 200) {
    crashes.recordWhole();
  }
  const isBroken = outcome.kind === "answered"
    ? result.kind === "lost" && !result.hasNoRoom &&
      isCutOff(outcome.response, request.method)
    : outcome.kind === "lost" && outcome.isReset;
  if (isBroken) crashes.recordBroken(state);
}
