/**
 * Relays one stream of events, over several replicas if need be.
 *
 * A stream goes on at another replica after its last whole event when its route
 * allows it and its replica failed or fell silent. When its replica leaves, the
 * run is moved with its memory, which counts as the same run on any route. The
 * caller sees one answer with the head of the first replica.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { signatureHeader } from "@almondcrank/platform/headers.ts";
import {
  type EngineChoice,
  prefillTokensPerMs,
} from "../choice/engine_choice.ts";
import { computeEngineMs, type EngineTokens } from "../duties/work_meter.ts";
import type { RetryReason } from "../limits/retry_budget.ts";
import { type RelayEnd, relayEvents } from "./event_relay.ts";
import { listResponseHeaders } from "./message_headers.ts";
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
  recordStreamChoice,
} from "./stream_choice.ts";
import { StreamAttempts } from "./stream_attempts.ts";
import { computeTimerMs } from "./timer_ms.ts";
import { StallDetector } from "./stall_detector.ts";
import type { Segment, SegmentEnd, StreamExchange } from "./stream_segment.ts";
import type { RoutedRequest } from "./routed_request.ts";
import type {
  MoveTarget,
  RunningStream,
  StreamRegistry,
} from "./stream_registry.ts";

/** Silence before the first event, relative to what was predicted. */
const firstEventSilenceFactor = 4;
const minFirstEventSilenceMs = 700;
/** Part of the allowed pause after which a silent replica is given up. */
const gapSilenceShare = 0.75;
const defaultRetryMs = 300;

/** Relays one stream. */
export class StreamRelay implements RunningStream {
  readonly #services: RelayServices;
  readonly #registry: StreamRegistry;
  readonly #request: RoutedRequest;
  readonly #response: ServerResponse;
  readonly #attempts: StreamAttempts;
  readonly #tried = new Set<string>();
  #leg = new AbortController();
  #move: Promise<MoveTarget | undefined> | undefined;
  #lastId: number | undefined;
  #events = 0;
  #isSilent = false;

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
    this.#lastId = request.resumeAfter;
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

  /** Tells where the run goes on; the relay follows when its leg ends. */
  setMove(move: Promise<MoveTarget | undefined>): void {
    this.#move = move;
    void move.then((target) => {
      // A failed move leaves the run where it is, and may be tried again.
      if (target === undefined && this.#move === move) this.#move = undefined;
    });
  }

  /** Relays the stream until its final answer. */
  async run(): Promise<RelayResult> {
    const { callerSignal: callerGone, deadline: endsAt } = this.#request;
    const abortLeg = (): void => this.#leg.abort();
    callerGone.addEventListener("abort", abortLeg);
    const timer = setTimeout(
      abortLeg,
      computeTimerMs(endsAt - this.#services.clock.now()),
    );
    try {
      return await this.#runLegs();
    } finally {
      clearTimeout(timer);
      callerGone.removeEventListener("abort", abortLeg);
    }
  }

  async #runLegs(): Promise<RelayResult> {
    let target: MoveTarget | undefined;
    while (true) {
      const choice = chooseStreamReplica(this.#services, this.#request, {
        target,
        tried: this.#tried,
      });
      if (choice === undefined) return this.#fail("no_replica");
      recordStreamChoice(this.#request, choice, this.#lastId);
      const refusal = this.#checkAdmission(choice);
      if (refusal !== undefined) return refusal;
      const leg = await this.#runLeg(choice, target);
      switch (leg.kind) {
        case "done":
          return leg.result;
        case "moved":
          target = leg.target;
          break;
        case "retry": {
          target = undefined;
          const failure = this.#checkRepeat(leg.reason);
          if (failure !== undefined) return failure;
          break;
        }
      }
    }
  }

  /** Refuses a stream that has not run and would begin too late. */
  #checkAdmission(choice: EngineChoice): RelayResult | undefined {
    if (this.#attempts.sends > 0) return undefined;
    const verdict = checkStreamAdmission(this.#services, this.#request, choice);
    switch (verdict.kind) {
      case "admitted":
        return undefined;
      case "refused":
        return this.#fail("overloaded", verdict.retryAfterMs);
    }
  }

  async #runLeg(
    choice: EngineChoice,
    target: MoveTarget | undefined,
  ): Promise<SegmentEnd> {
    const { sender, clock, prefixes } = this.#services;
    const { state } = choice;
    if (this.#isOver()) return { kind: "done", result: this.#endEarly() };
    this.#leg = new AbortController();
    this.#move = undefined;
    this.#isSilent = false;
    this.#tried.add(state.key);
    prefixes.record(this.#request.promptParts, state.key, clock.now());
    const sentAt = clock.now();
    const sending = sender.send(this.#request, state, {
      signal: this.#leg.signal,
      uncachedTokens: choice.uncachedTokens,
      ...(this.#lastId === undefined ? {} : { resumeAfter: this.#lastId }),
      ...(target === undefined ? {} : { movedRun: target.movedRun }),
    });
    this.#recordWork({ prompt: choice.uncachedTokens, output: 0 });
    if (target === undefined) this.#attempts.recordSend();
    const entry = this.#registry.add(state.key, this);
    const silence = this.#watchSilence(choice);
    try {
      const outcome = await sending.outcome;
      this.#request.trace.record("send ended.", {
        replica: state.replica.id,
        outcome: outcome.kind,
        reason: "reason" in outcome ? outcome.reason : undefined,
      });
      switch (outcome.kind) {
        case "not_sent":
          if (target === undefined) this.#attempts.recordConnectFailure();
          return this.#endLeg("not_sent");
        case "declined":
          if (target !== undefined) this.#tried.delete(state.key);
          return this.#endLeg("declined");
        case "lost":
          this.#attempts.recordRun();
          return await this.#followMove("lost");
        case "answered":
          this.#attempts.recordRun();
          return await this.#relayAnswer(choice, {
            answer: outcome.answer,
            sending,
            sentAt,
            stallDetector: silence,
            isMoved: target !== undefined,
          });
      }
    } finally {
      silence.dispose();
      entry.dispose();
      sending.end();
    }
  }

  async #relayAnswer(choice: EngineChoice, leg: Segment): Promise<SegmentEnd> {
    const { answer, sending } = leg;
    const { state } = choice;
    const now = this.#services.clock.now();
    const isSigned = answer.headers[signatureHeader] !== undefined;
    if (answer.statusCode !== 200) return await this.#relayFailure(answer);
    if (!isSigned) {
      answer.destroy();
      state.failures.record(true, now);
      return this.#endLeg("lost");
    }
    const { tokensPerEvent = 1 } = this.#request.service.engine ?? {};
    let isFirst = true;
    const end = await relayEvents({
      answer,
      response: this.#response,
      lastId: this.#lastId,
      writeHead: () => this.#writeHead(answer),
      onEvents: (lastId, events) => {
        this.#lastId = lastId;
        this.#events += 1;
        this.#recordWork({ prompt: 0, output: events * tokensPerEvent });
        leg.stallDetector.recordEvents();
        if (!isFirst) return;
        isFirst = false;
        sending.markStarted();
        this.#recordStart(choice, leg);
      },
    });
    return await this.#endPump(end, choice);
  }

  async #endPump(end: RelayEnd, { state }: EngineChoice): Promise<SegmentEnd> {
    const now = this.#services.clock.now();
    switch (end) {
      case "complete":
        state.failures.record(false, now);
        this.#response.end();
        return { kind: "done", result: this.#end(200, "answered") };
      case "caller_gone":
        this.#leg.abort();
        return { kind: "done", result: this.#end(0, "caller_gone") };
      case "broken":
        if (this.#move === undefined && !this.#isOver()) {
          state.failures.record(true, now);
        }
        return await this.#followMove(this.#isSilent ? "silent" : "lost");
      case "out_of_order":
        state.failures.record(true, now);
        this.#leg.abort();
        return this.#endLeg("lost");
    }
  }

  /** A failure that the replica itself answered. */
  async #relayFailure(answer: IncomingMessage): Promise<SegmentEnd> {
    const body = await readResponseBody(answer);
    const isSigned = answer.headers[signatureHeader] !== undefined;
    if (body === undefined || !isSigned) return this.#endLeg("lost");
    if (this.#attempts.canResume || this.#response.headersSent) {
      return this.#endLeg("failed");
    }
    const status = sendBufferedResponse(this.#response, { answer, body });
    return { kind: "done", result: this.#end(status, "answered") };
  }

  /** Follows a move that ended the leg, else tries the stream elsewhere. */
  async #followMove(reason: RetryReason): Promise<SegmentEnd> {
    const target = await this.#move;
    this.#move = undefined;
    if (target !== undefined && !this.#isOver()) {
      return { kind: "moved", target };
    }
    return this.#endLeg(reason);
  }

  #endLeg(reason: RetryReason): SegmentEnd {
    if (this.#isOver()) return { kind: "done", result: this.#endEarly() };
    return { kind: "retry", reason };
  }

  /** Final result when the request may not be sent once more. */
  #checkRepeat(reason: RetryReason): RelayResult | undefined {
    const { budget, clock, metrics } = this.#services;
    const { service } = this.#request;
    const isAllowed = this.#attempts.isRetryable(reason) &&
      (reason === "not_sent" || budget.take(service.name, clock.now()));
    if (!isAllowed) {
      return this.#fail(this.#attempts.mayHaveRun ? "answer_lost" : "declined");
    }
    metrics.count("repeats_total", { reason });
    this.#request.trace.record("request repeated.", {
      reason,
      after: this.#lastId,
    });
    return undefined;
  }

  /** Gives a replica up that sends nothing while another could go on. */
  #watchSilence(choice: EngineChoice): StallDetector {
    const { route, promptTokens } = this.#request;
    const { clock } = this.#services;
    const readMs = promptTokens / prefillTokensPerMs;
    const firstMs = Math.max(
      minFirstEventSilenceMs,
      choice.predictedMs * firstEventSilenceFactor,
      readMs * firstEventSilenceFactor,
    );
    const { state } = choice;
    return StallDetector.create({
      clock,
      state,
      firstEventTimeoutMs: route.isResumable ? firstMs : Infinity,
      nextEventTimeoutMs: route.isResumable
        ? route.maxEventGapMs * gapSilenceShare
        : Infinity,
      onStalled: () => {
        // A silent replica is no reason to end an answer that cannot go on.
        if (!this.#attempts.canResume || this.#move !== undefined) return;
        this.#isSilent = true;
        state.failures.record(true, clock.now());
        this.#leg.abort();
      },
    });
  }

  #recordWork(tokens: EngineTokens): void {
    const { work, clock } = this.#services;
    const { name, engine } = this.#request.service;
    const ms = computeEngineMs(tokens, engine?.slots ?? Infinity);
    work.record(name, ms, clock.now());
  }

  #recordStart(choice: EngineChoice, leg: Segment): void {
    const { clock, runs } = this.#services;
    const observedMs = clock.now() - leg.sentAt;
    choice.state.recordFirstEvent(observedMs, choice.predictedMs);
    if (!leg.isMoved) runs.recordRun(this.#request.tenant?.name);
  }

  #writeHead(answer: IncomingMessage): void {
    if (this.#response.headersSent) return;
    this.#response.writeHead(200, listResponseHeaders(answer));
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
      // Cutting the connection is the only way to say that the rest is missing.
      this.#response.destroy();
      return this.#end(0, reason);
    }
    const answer = composeFailureReply(reason, {
      mayHaveRun: this.#attempts.mayHaveRun,
      retryAfterMs: retryMs * (0.75 + this.#services.random.next() / 2),
    });
    sendLocalReply(this.#response, answer);
    return this.#end(answer.status, reason);
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
