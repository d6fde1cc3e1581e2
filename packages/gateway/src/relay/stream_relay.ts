/**
 * Relays one event stream, from several replicas in turn if necessary.
 *
 * The part from one replica is a segment. If a replica fails or stalls, another
 * one resumes after the last complete event if the route allows it. If a replica
 * leaves, the run is moved with its KV cache, which counts as the same run on any
 * route. The caller receives one response, with the first replica's headers.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { abortResponse } from "@almondcrank/common/abort_response.ts";
import { signatureHeader } from "@almondcrank/platform/headers.ts";
import type { EngineChoice } from "../choice/engine_choice.ts";
import type { RetryReason } from "./retry_reason.ts";
import { relayEvents, type RelayOutcome } from "./event_relay.ts";
import { listStreamHeaders } from "./message_headers.ts";
import {
  composeFailureReply,
  type FailureReason,
  sendLocalReply,
} from "./local_reply.ts";
import { sendBufferedResponse } from "./buffered_response.ts";
import type { RelayResult, RelayServices } from "./relay_services.ts";
import { readResponseBody } from "./replica_request.ts";
import {
  checkStreamAdmission,
  chooseStreamReplica,
  recordRefusedWork,
  recordStreamChoice,
} from "./stream_choice.ts";
import { StreamAttempts } from "./stream_attempts.ts";
import { StreamRecorder } from "./stream_recorder.ts";
import { computeTimerMs } from "./timer_ms.ts";
import { computeStallTimeouts } from "./stall_timeouts.ts";
import { StallDetector } from "./stall_detector.ts";
import type { Segment, SegmentEnd, StreamExchange } from "./stream_segment.ts";
import type { RoutedRequest } from "./routed_request.ts";
import type {
  MoveTarget,
  RunningStream,
  StreamRegistry,
} from "./stream_registry.ts";

const defaultRetryMs = 300;

/** Relays one stream, with retries and moves. */
export class StreamRelay implements RunningStream {
  readonly #services: RelayServices;
  readonly #registry: StreamRegistry;
  readonly #request: RoutedRequest;
  /** Response to the caller. */
  readonly #response: ServerResponse;
  readonly #attempts: StreamAttempts;
  readonly #recorder: StreamRecorder;
  readonly #tried = new Set<string>();
  #segmentAborter = new AbortController();
  #move: Promise<MoveTarget | undefined> | undefined;
  #lastId: number | undefined;
  /** Software version that began the stream; others can't continue it. */
  #version: string | undefined;
  #events = 0;
  #isStalled = false;

  private constructor(
    services: RelayServices,
    registry: StreamRegistry,
    { request, response }: StreamExchange,
  ) {
    this.#services = services;
    this.#registry = registry;
    this.#request = request;
    this.#response = response;
    this.#attempts = StreamAttempts.create(request.route);
    this.#recorder = StreamRecorder.create(services, request);
    this.#lastId = request.resumeAfter;
    this.#version = request.resumedVersion;
  }

  static create(
    services: RelayServices,
    registry: StreamRegistry,
    exchange: StreamExchange,
  ): StreamRelay {
    return new StreamRelay(services, registry, exchange);
  }

  get request(): RoutedRequest {
    return this.#request;
  }

  get hasStarted(): boolean {
    return this.#events > 0;
  }

  get isMoving(): boolean {
    return this.#move !== undefined;
  }

  /** Sets the pending move; the relay follows it when the segment ends. */
  setMove(move: Promise<MoveTarget | undefined>): void {
    this.#move = move;
    void move.then((target) => {
      // A failed move leaves the run where it is and may be retried.
      if (target === undefined && this.#move === move) this.#move = undefined;
    });
  }

  /** Relays the stream until the caller has its final response. */
  async run(): Promise<RelayResult> {
    const { callerSignal, deadline } = this.#request;
    const abortSegment = (): void => this.#segmentAborter.abort();
    callerSignal.addEventListener("abort", abortSegment);
    const timer = setTimeout(
      abortSegment,
      computeTimerMs(deadline - this.#services.clock.now()),
    );
    try {
      return await this.#runSegments();
    } finally {
      clearTimeout(timer);
      callerSignal.removeEventListener("abort", abortSegment);
    }
  }

  async #runSegments(): Promise<RelayResult> {
    let target: MoveTarget | undefined;
    while (true) {
      const choice = chooseStreamReplica(this.#services, this.#request, {
        target,
        tried: this.#tried,
        version: this.#version,
      });
      if (choice === undefined) {
        return this.#fail(
          this.#version === undefined ? "no_replica" : "version_gone",
        );
      }
      recordStreamChoice(this.#request, choice, {
        after: this.#lastId,
        now: this.#services.clock.now(),
      });
      const refusal = this.#checkAdmission(choice);
      if (refusal !== undefined) return refusal;
      const segment = await this.#runSegment(choice, target);
      switch (segment.kind) {
        case "done":
          return segment.result;
        case "moved":
          target = segment.target;
          break;
        case "retry": {
          target = undefined;
          const failure = this.#checkRetry(segment.reason);
          if (failure !== undefined) return failure;
          break;
        }
      }
    }
  }

  /** Refuses a stream that has not been sent and would start too late. */
  #checkAdmission(choice: EngineChoice): RelayResult | undefined {
    if (this.#attempts.sends > 0) return undefined;
    const verdict = checkStreamAdmission(this.#services, this.#request, choice);
    switch (verdict.kind) {
      case "admitted":
        return undefined;
      case "refused":
        recordRefusedWork(this.#services, this.#request, choice);
        return this.#fail("overloaded", verdict.retryAfterMs);
    }
  }

  async #runSegment(
    choice: EngineChoice,
    target: MoveTarget | undefined,
  ): Promise<SegmentEnd> {
    const { sender, clock, prefixes } = this.#services;
    const { state } = choice;
    if (this.#isOver()) return { kind: "done", result: this.#endEarly() };
    this.#segmentAborter = new AbortController();
    this.#move = undefined;
    this.#isStalled = false;
    this.#tried.add(state.key);
    prefixes.record(this.#request.promptParts, state.key, clock.now());
    const sentAt = clock.now();
    const pendingSend = sender.send(this.#request, state, {
      signal: this.#segmentAborter.signal,
      uncachedTokens: choice.uncachedTokens,
      ...(this.#lastId === undefined ? {} : { resumeAfter: this.#lastId }),
      ...(target === undefined ? {} : { movedRun: target.movedRun }),
    });
    this.#recorder.recordWork({ prompt: choice.uncachedTokens, output: 0 });
    if (target === undefined) this.#attempts.recordSend();
    const registration = this.#registry.add(state.key, this);
    const stallDetector = this.#createStallDetector(choice);
    try {
      const outcome = await pendingSend.outcome;
      this.#recorder.recordSend(choice, outcome, this.#isOwnEnd);
      switch (outcome.kind) {
        case "not_sent":
          if (target === undefined) this.#attempts.recordConnectFailure();
          return this.#endSegment("not_sent");
        case "declined":
          if (target !== undefined) this.#tried.delete(state.key);
          return this.#endSegment("declined");
        case "lost":
          this.#attempts.recordRun();
          return await this.#followMove("lost");
        case "answered":
          this.#attempts.recordRun();
          return await this.#relay(choice, {
            response: outcome.response,
            pendingSend,
            sentAt,
            stallDetector,
            isMoved: target !== undefined,
          });
      }
    } finally {
      stallDetector.dispose();
      registration.dispose();
      pendingSend.end();
    }
  }

  async #relay(choice: EngineChoice, segment: Segment): Promise<SegmentEnd> {
    const { response, pendingSend } = segment;
    const { state } = choice;
    const now = this.#services.clock.now();
    const isSigned = response.headers[signatureHeader] !== undefined;
    if (response.statusCode !== 200) return await this.#relayFailure(response);
    if (!isSigned) {
      response.destroy();
      state.failures.record(true, now);
      return this.#endSegment("lost");
    }
    const { tokensPerEvent = 1 } = this.#request.service.engine ?? {};
    let isFirst = true;
    const outcome = await relayEvents({
      response,
      callerResponse: this.#response,
      lastId: this.#lastId,
      writeHead: () => this.#writeHead(response),
      onEvents: (lastId, events) => {
        this.#lastId = lastId;
        this.#version = this.#recorder.recordOrigin(state.replica);
        this.#events += 1;
        this.#recorder.recordOutput(events * tokensPerEvent);
        segment.stallDetector.recordEvents();
        if (!isFirst) return;
        isFirst = false;
        pendingSend.markStarted();
        this.#recorder.recordStart(choice, segment);
      },
    });
    const isOwnEnd = this.#isOwnEnd;
    this.#recorder.recordEnd(choice, { ...outcome, isOwnEnd }, this.#lastId);
    return await this.#endRelay(outcome, choice);
  }

  async #endRelay(
    { end, framing }: RelayOutcome,
    { state }: EngineChoice,
  ): Promise<SegmentEnd> {
    const now = this.#services.clock.now();
    switch (end) {
      case "complete": {
        state.failures.record(false, now);
        // A run that was moved away ends its connection like a whole stream.
        const target = framing === "connection" ? await this.#move : undefined;
        if (target !== undefined) return { kind: "moved", target };
        this.#response.end();
        this.#recorder.recordComplete();
        return { kind: "done", result: this.#end(200, "answered") };
      }
      case "caller_gone":
        this.#segmentAborter.abort();
        return { kind: "done", result: this.#end(0, "caller_gone") };
      case "broken":
        if (this.#move === undefined && !this.#isOver()) {
          state.failures.record(true, now);
        }
        return await this.#followMove(this.#isStalled ? "silent" : "lost");
      case "out_of_order":
        state.failures.record(true, now);
        this.#segmentAborter.abort();
        return this.#endSegment("lost");
    }
  }

  /** Handles a response with a status other than 200. */
  async #relayFailure(response: IncomingMessage): Promise<SegmentEnd> {
    const body = await readResponseBody(response);
    const isSigned = response.headers[signatureHeader] !== undefined;
    if (body === undefined || !isSigned) return this.#endSegment("lost");
    if (this.#attempts.canResume || this.#response.headersSent) {
      return this.#endSegment("failed");
    }
    const status = sendBufferedResponse(this.#response, { response, body });
    return { kind: "done", result: this.#end(status, "answered") };
  }

  /** Follows a move that ended the segment; otherwise retries the stream. */
  async #followMove(reason: RetryReason): Promise<SegmentEnd> {
    const target = await this.#move;
    this.#move = undefined;
    if (target !== undefined && !this.#isOver()) {
      return { kind: "moved", target };
    }
    return this.#endSegment(reason);
  }

  #endSegment(reason: RetryReason): SegmentEnd {
    if (this.#isOver()) return { kind: "done", result: this.#endEarly() };
    return { kind: "retry", reason };
  }

  /** Checks whether to retry; returns the final result if not. */
  #checkRetry(reason: RetryReason): RelayResult | undefined {
    const { budget, clock, metrics } = this.#services;
    const { service } = this.#request;
    const isAllowed = this.#attempts.isRetryable(reason) &&
      this.#recorder.mayRepeat() &&
      (reason === "not_sent" || budget.take(service.name, clock.now()));
    if (!isAllowed) {
      return this.#fail(this.#attempts.mayHaveRun ? "answer_lost" : "declined");
    }
    metrics.count("repeats_total", { reason });
    this.#request.trace.record("request retried.", {
      reason,
      after: this.#lastId,
    });
    return undefined;
  }

  /** Aborts the segment when it stalls and another replica could resume. */
  #createStallDetector(choice: EngineChoice): StallDetector {
    const { clock } = this.#services;
    const { state } = choice;
    return StallDetector.create({
      clock,
      state,
      ...computeStallTimeouts(this.#request, choice.predictedMs),
      onStalled: () => {
        // If the stream cannot be resumed, waiting is better than ending it.
        if (!this.#attempts.canResume || this.#move !== undefined) return;
        this.#isStalled = true;
        state.failures.record(true, clock.now());
        this.#segmentAborter.abort();
      },
    });
  }

  #writeHead(response: IncomingMessage): void {
    if (this.#response.headersSent) return;
    this.#response.writeHead(200, listStreamHeaders(response));
  }

  /** Whether this node aborted the segment or had its run moved. */
  get #isOwnEnd(): boolean {
    return this.#segmentAborter.signal.aborted || this.#move !== undefined;
  }

  #isOver(): boolean {
    return this.#request.callerSignal.aborted ||
      this.#services.clock.now() >= this.#request.deadline;
  }

  #endEarly(): RelayResult {
    if (this.#request.callerSignal.aborted) return this.#end(0, "caller_gone");
    return this.#fail("out_of_time");
  }

  #fail(reason: FailureReason, retryMs = defaultRetryMs): RelayResult {
    if (this.#response.headersSent) {
      abortResponse(this.#response);
      return this.#end(0, reason);
    }
    const { table, clock, random } = this.#services;
    const { name } = this.#request.service;
    const resumeMs = table.computeResumeMs(name, clock.now());
    const reply = composeFailureReply(reason, {
      mayHaveRun: this.#attempts.mayHaveRun,
      retryAfterMs: resumeMs + retryMs * (0.75 + random.next() / 2),
    });
    sendLocalReply(this.#response, reply);
    return this.#end(reply.status, reason);
  }

  #end(status: number, reason: string): RelayResult {
    return {
      status,
      reason,
      sends: this.#attempts.sends,
      mayHaveRun: this.#attempts.mayHaveRun,
    };
  }
}
