/**
 * Relays requests whose response is buffered before it is forwarded.
 *
 * A response is read to its end before its headers go to the caller, so a
 * truncated one can still be replaced by a retry. A request is retried only if
 * it certainly did not run or its route is safe to run twice.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { signatureHeader } from "@almondcrank/platform/headers.ts";
import { chooseCallReplica } from "../choice/call_choice.ts";
import type { ReplicaState } from "../choice/replica_state.ts";
import type { RetryReason } from "./retry_reason.ts";
import {
  composeFailureReply,
  type FailureReason,
  sendLocalReply,
} from "./local_reply.ts";
import {
  type BufferedResponse,
  sendBufferedResponse,
} from "./buffered_response.ts";
import { CrashRecorder } from "./crash_recorder.ts";
import type { RelayResult, RelayServices } from "./relay_services.ts";
import type { SendOutcome } from "./replica_request.ts";
import { readResponseBody } from "./response_body.ts";
import { computeTimerMs } from "./timer_ms.ts";
import type { RoutedRequest } from "./routed_request.ts";

/** Timeout of one attempt, as a multiple of the route's objective. */
const attemptTimeoutFactor = 2.5;
const minAttemptTimeoutMs = 200;
/** Failed connection attempts allowed; they do not count as sends. */
const maxConnectFailures = 4;
const declinedRetryMs = 150;
const serverErrorWeight = 0.4;

/** Outcome of one send, including the body of the response. */
type SendResult =
  | BufferedResponse & { readonly kind: "whole" }
  | { readonly kind: "not_sent" | "declined" | "lost" | "silent" };

/** Relays one request, with retries. */
export class CallRelay {
  readonly #services: RelayServices;
  readonly #request: RoutedRequest;
  readonly #callerResponse: ServerResponse;
  readonly #crashes: CrashRecorder;
  readonly #tried = new Set<string>();
  #sends = 0;
  #connectFailures = 0;
  #mayHaveRun = false;
  /** Replica of the next send, whose retry has been taken from the budget. */
  #reserved: ReplicaState | undefined;
  /** Last 5xx response of a replica, delivered if no retry succeeds. */
  #failure: BufferedResponse | undefined;

  private constructor(
    services: RelayServices,
    request: RoutedRequest,
    callerResponse: ServerResponse,
  ) {
    this.#services = services;
    this.#request = request;
    this.#callerResponse = callerResponse;
    this.#crashes = CrashRecorder.create(services, request);
  }

  static create(
    services: RelayServices,
    request: RoutedRequest,
    callerResponse: ServerResponse,
  ): CallRelay {
    return new CallRelay(services, request, callerResponse);
  }

  /** Relays the request until the caller has its final response. */
  async run(): Promise<RelayResult> {
    const { clock, budget } = this.#services;
    const { route, service, deadline, callerSignal } = this.#request;
    while (true) {
      const state = this.#reserved ?? this.#chooseReplica();
      this.#reserved = undefined;
      if (state === undefined) return this.#refuse(this.#findShortage());
      const result = await this.#send(state);
      if (callerSignal.aborted) return this.#end(0, "caller_gone");
      if (result.kind === "whole") {
        if (!this.#isRetryable(result)) return this.#deliver(result);
        this.#failure = result;
      }
      const now = clock.now();
      if (now >= deadline) return this.#refuse("out_of_time");
      const hasSendsLeft = this.#sends < route.maxAttempts &&
        this.#connectFailures < maxConnectFailures;
      const mayRetry = !this.#mayHaveRun || route.kind === "safe";
      const isRetried = hasSendsLeft && mayRetry && this.#crashes.mayRepeat() &&
        (result.kind === "not_sent" || this.#reserved !== undefined ||
          budget.take(service.name, now));
      if (isRetried) {
        this.#countRetry(result.kind === "whole" ? "failed" : result.kind);
        continue;
      }
      return this.#refuse(this.#mayHaveRun ? "answer_lost" : "declined");
    }
  }

  #chooseReplica(): ReplicaState | undefined {
    const { table, clock, zone, random } = this.#services;
    const states = table.listUsable(this.#request.service.name);
    const request = { zone, now: clock.now(), draw: random.next() };
    const choice = chooseCallReplica(states, {
      ...request,
      excluded: this.#tried,
    });
    if (choice === undefined) return undefined;
    const { state, predictedMs } = choice;
    this.#request.trace.record("replica chosen.", {
      replica: state.replica.id,
      predictedMs: Math.round(predictedMs),
      active: state.totalLoad.active,
      usable: states.length,
    });
    return state;
  }

  /** Finds why no replica can be chosen. */
  #findShortage(): FailureReason {
    const { table, clock } = this.#services;
    const { name } = this.#request.service;
    return table.isAtLimits(name, clock.now())
      ? "replica_limits"
      : "no_replica";
  }

  async #send(state: ReplicaState): Promise<SendResult> {
    const { sender, clock } = this.#services;
    const { route, deadline, callerSignal } = this.#request;
    const aborter = new AbortController();
    const abort = (): void => aborter.abort();
    // A request that must not run twice is not aborted when its caller leaves.
    if (route.kind === "safe") callerSignal.addEventListener("abort", abort);
    const startedAt = clock.now();
    const remainingMs = deadline - startedAt;
    const timer = setTimeout(abort, computeTimerMs(remainingMs));
    // A silent replica may go on: its run is kept unless another one is left.
    const silenceTimer = setInterval(() => {
      if (this.#reserveRetry()) abort();
    }, computeTimerMs(Math.min(remainingMs, this.#attemptTimeoutMs)));
    const pendingSend = sender.send(this.#request, state, {
      signal: aborter.signal,
      uncachedTokens: 0,
    });
    this.#tried.add(state.key);
    try {
      const outcome = await pendingSend.outcome;
      const result = await this.#readResult(state, outcome);
      this.#request.trace.record("send ended.", {
        replica: state.replica.id,
        outcome: result.kind,
        reason: "reason" in outcome ? outcome.reason : undefined,
        status: result.kind === "whole"
          ? result.response.statusCode
          : undefined,
      });
      const isOwnEnd = aborter.signal.aborted;
      if (!isOwnEnd) this.#recordEnd(state, outcome, result);
      const isTimedOut = result.kind === "lost" && isOwnEnd &&
        !callerSignal.aborted;
      if (isTimedOut) state.failures.record(true, clock.now());
      if (result.kind === "whole") {
        const endedAt = clock.now();
        state.recordServiceTime(endedAt - startedAt, endedAt);
      }
      if (isTimedOut && clock.now() < deadline) return { kind: "silent" };
      return result;
    } finally {
      clearTimeout(timer);
      clearInterval(silenceTimer);
      callerSignal.removeEventListener("abort", abort);
      pendingSend.end();
    }
  }

  /** Records for the quarantine how a run ended that this node did not abort. */
  #recordEnd(
    state: ReplicaState,
    outcome: SendOutcome,
    result: SendResult,
  ): void {
    if (result.kind === "whole" && result.response.statusCode === 200) {
      this.#crashes.recordWhole();
    }
    const isBroken = outcome.kind === "answered"
      ? result.kind === "lost" && !outcome.response.complete
      : outcome.kind === "lost" && outcome.isReset;
    if (isBroken) this.#crashes.recordBroken(state);
  }

  /** Time after which a send may be given up for another one, in milliseconds. */
  get #attemptTimeoutMs(): number {
    return Math.max(
      minAttemptTimeoutMs,
      this.#request.route.objectiveMs * attemptTimeoutFactor,
    );
  }

  /** Takes a retry for another replica; false if there may be none or none is left. */
  #reserveRetry(): boolean {
    const { budget, clock } = this.#services;
    const { route, service } = this.#request;
    const mayRetry = route.kind === "safe" &&
      this.#sends + 1 < route.maxAttempts && this.#crashes.mayRepeat();
    if (!mayRetry || this.#reserved !== undefined) return false;
    const state = this.#chooseReplica();
    if (state === undefined) return false;
    if (!budget.take(service.name, clock.now())) return false;
    this.#reserved = state;
    return true;
  }

  async #readResult(
    state: ReplicaState,
    outcome: SendOutcome,
  ): Promise<SendResult> {
    switch (outcome.kind) {
      case "not_sent":
        this.#connectFailures += 1;
        return { kind: "not_sent" };
      case "declined":
        this.#sends += 1;
        return { kind: "declined" };
      case "lost":
        this.#sends += 1;
        this.#mayHaveRun = true;
        return { kind: "lost" };
      case "answered":
        this.#sends += 1;
        this.#mayHaveRun = true;
        return await this.#readResponse(state, outcome.response);
    }
  }

  async #readResponse(
    state: ReplicaState,
    response: IncomingMessage,
  ): Promise<SendResult> {
    const { clock, runs } = this.#services;
    runs.recordRun(this.#request.tenant?.name);
    const body = await readResponseBody(response);
    const isSigned = response.headers[signatureHeader] !== undefined;
    const isWhole = body !== undefined && isSigned;
    const isServerError = (response.statusCode ?? 0) >= 500;
    const now = clock.now();
    if (!isWhole) state.failures.record(true, now);
    else state.failures.record(isServerError, now, serverErrorWeight);
    return isWhole ? { kind: "whole", response, body } : { kind: "lost" };
  }

  /** Whether a response is a server error that may be retried elsewhere. */
  #isRetryable({ response }: BufferedResponse): boolean {
    return this.#request.route.kind === "safe" &&
      (response.statusCode ?? 0) >= 500;
  }

  #countRetry(reason: RetryReason): void {
    this.#services.metrics.count("repeats_total", { reason });
    this.#request.trace.record("request retried.", { reason });
  }

  #deliver(whole: BufferedResponse): RelayResult {
    return this.#end(
      sendBufferedResponse(this.#callerResponse, whole),
      "answered",
    );
  }

  /**
   * Refuses the request at once; if all replicas asked for a pause, with the time
   * until the first one takes requests again.
   */
  #refuse(reason: FailureReason): RelayResult {
    if (this.#failure !== undefined) return this.#deliver(this.#failure);
    const { table, clock, random } = this.#services;
    const { name } = this.#request.service;
    const resumeMs = table.computeResumeMs(name, clock.now());
    const reply = composeFailureReply(reason, {
      mayHaveRun: this.#mayHaveRun,
      retryAfterMs: resumeMs + declinedRetryMs * (0.5 + random.next()),
    });
    sendLocalReply(this.#callerResponse, reply);
    return this.#end(reply.status, reply.reason);
  }

  #end(status: number, reason: string): RelayResult {
    return {
      status,
      reason,
      sends: this.#sends,
      mayHaveRun: this.#mayHaveRun,
    };
  }
}
