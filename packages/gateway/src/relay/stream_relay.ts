/**
 * Relays one event stream, from several replicas in turn if necessary.
 *
 * The part from one replica is a segment. If a replica fails, another one resumes
 * after the last complete event if the route allows it. If it is silent, it is
 * given up only once another one has begun to answer. If a replica leaves, the run
 * is moved with its KV cache, which counts as the same run on any route. The caller
 * receives one response, with the first replica's headers.
 */

import type { ServerResponse } from "node:http";
import { endsWithConnection } from "@almondcrank/common/answer_framing.ts";
import { signatureHeader } from "@almondcrank/platform/headers.ts";
import type { EngineChoice } from "../choice/engine_choice.ts";
import type { RetryReason } from "./retry_reason.ts";
import { checkConnectionEnd, checkStreamEnd } from "./connection_end_check.ts";
import { relayEvents, type RelayOutcome } from "./event_relay.ts";
import { writeStreamHead } from "./message_headers.ts";
import { SegmentMove } from "./segment_move.ts";
import { sendBufferedResponse } from "./buffered_response.ts";
import type { RelayResult, RelayServices } from "./relay_services.ts";
import { readResponseBody } from "./response_body.ts";
import type { StreamProgress } from "./stream_choice.ts";
import { StreamEnding } from "./stream_ending.ts";
import { enterStream } from "./stream_entry.ts";
import { StreamAttempts } from "./stream_attempts.ts";
import { StreamRetries } from "./stream_retries.ts";
import { StreamRecorder } from "./stream_recorder.ts";
import { computeTimerMs } from "./timer_ms.ts";
import { computeStallTimeouts } from "./stall_timeouts.ts";
import type {
  Segment,
  SegmentEnd,
  StreamExchange,
  StreamSend,
} from "./stream_segment.ts";
import { StreamSends } from "./stream_sends.ts";
import { StreamStandby } from "./stream_standby.ts";
import type { RoutedRequest } from "./routed_request.ts";
import type {
  MoveEnd,
  MoveTarget,
  RunningStream,
  StreamRegistry,
} from "./stream_registry.ts";

/** Relays one stream, with retries and moves. */
export class StreamRelay implements RunningStream {
  readonly #services: RelayServices;
  readonly #registry: StreamRegistry;
  readonly #request: RoutedRequest;
  /** Response to the caller. */
  readonly #response: ServerResponse;
  readonly #attempts: StreamAttempts;
  readonly #retries: StreamRetries;
  readonly #recorder: StreamRecorder;
  readonly #sends: StreamSends;
  readonly #ending: StreamEnding;
  /** The send whose response is relayed. */
  #send: StreamSend | undefined;
  #standby: StreamStandby | undefined;
  #move = SegmentMove.create();
  #lastId: number | undefined;
  /** Software version that began the stream; others can't continue it. */
  #version: string | undefined;
  #events = 0;

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
    this.#ending = StreamEnding.create({
      services,
      exchange: { request, response },
      attempts: this.#attempts,
    });
    this.#recorder = StreamRecorder.create(services, request);
    this.#retries = StreamRetries.create({
      services,
      request,
      attempts: this.#attempts,
      recorder: this.#recorder,
    });
    this.#sends = StreamSends.create({
      services,
      request,
      attempts: this.#attempts,
      recorder: this.#recorder,
    });
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

  /** A standby counts as a move: to abort it would give up what may serve. */
  get isMoving(): boolean {
    return this.#move.isPending || this.#standby?.isPending === true;
  }

  /** Sets the pending move; the relay follows it when the segment ends. */
  setMove(move: Promise<MoveEnd>): void {
    this.#move.set(move);
  }

  /** Relays the stream until the caller has its final response. */
  async run(): Promise<RelayResult> {
    const { callerSignal, deadline } = this.#request;
    const abortSends = (): void => {
      this.#standby?.cancel();
      this.#send?.aborter.abort();
    };
    callerSignal.addEventListener("abort", abortSends);
    const timer = setTimeout(
      abortSends,
      computeTimerMs(deadline - this.#services.clock.now()),
    );
    try {
      return await this.#runSegments();
    } finally {
      clearTimeout(timer);
      callerSignal.removeEventListener("abort", abortSends);
    }
  }

  async #runSegments(): Promise<RelayResult> {
    let target: MoveTarget | undefined;
    let taken: StreamSend | undefined;
    while (true) {
      const next = taken ?? await this.#sendNext(target);
      if ("status" in next) return next;
      const segment = await this.#runSegment(next);
      target = undefined;
      taken = undefined;
      switch (segment.kind) {
        case "done":
          return segment.result;
        case "moved":
          target = segment.target;
          break;
        case "taken_over":
          taken = segment.send;
          break;
        case "retry": {
          const { reason } = segment;
          const end = await this.#ending.endUnlessRetried(
            reason,
            () => this.#retries.take(reason, this.#lastId),
          );
          if (end !== undefined) return end;
          break;
        }
      }
    }
  }

  /** Sends the stream to the replica chosen next; returns the result if it ends. */
  async #sendNext(
    target: MoveTarget | undefined,
  ): Promise<StreamSend | RelayResult> {
    if (target === undefined && this.#attempts.sends === 0) {
      return await this.#sendFirst();
    }
    const choice = this.#choose({ target, mayReuse: true });
    if (choice === undefined) {
      return await this.#ending.handOver() ??
        this.#ending.failShort(this.#version);
    }
    if (this.#isOver()) return this.#ending.endEarly();
    return this.#sends.open(choice, { after: this.#lastId, target });
  }

  /** Sends the stream the first time, when there is room for it. */
  async #sendFirst(): Promise<StreamSend | RelayResult> {
    if (this.#isOver()) return this.#ending.endEarly();
    const entry = await enterStream(this.#services, this.#request, {
      choose: () => this.#choose({ target: undefined, mayReuse: true }),
      send: (choice) => this.#sends.open(choice, { after: this.#lastId }),
    });
    switch (entry.kind) {
      case "sent":
        return entry.send;
      case "no_replica":
        return this.#ending.failShort(this.#version);
      case "over":
        return this.#ending.endEarly();
      case "refused":
        return this.#ending.fail(entry.reason, entry);
    }
  }

  #choose(
    options: Pick<StreamProgress, "target" | "mayReuse">,
  ): EngineChoice | undefined {
    return this.#sends.choose({ ...options, version: this.#version });
  }

  async #runSegment(send: StreamSend): Promise<SegmentEnd> {
    const { choice, pendingSend } = send;
    this.#send = send;
    this.#move = SegmentMove.create();
    const standby = this.#standby = this.#createStandby(send);
    const registration = this.#registry.add(choice.state.key, this);
    try {
      const outcome = await pendingSend.outcome;
      switch (outcome.kind) {
        case "not_sent":
        case "declined":
          return this.#endSegment(outcome.kind);
        case "lost":
          return await this.#followMove("lost");
        case "answered": {
          const { response } = outcome;
          return await this.#relay({ response, send, standby });
        }
      }
    } finally {
      registration.dispose();
      standby.dispose();
      pendingSend.end();
    }
  }

  async #relay(segment: Segment): Promise<SegmentEnd> {
    const { response, send } = segment;
    const { choice, pendingSend } = send;
    const { state } = choice;
    const now = this.#services.clock.now();
    const isSigned = response.headers[signatureHeader] !== undefined;
    if (response.statusCode !== 200) return await this.#relayFailure(segment);
    if (!isSigned) {
      response.destroy();
      state.failures.record(true, now);
      return this.#endSegment("lost");
    }
    this.#recorder.recordBegin();
    const { tokensPerEvent = 1 } = this.#request.service.engine ?? {};
    let isFirst = true;
    const relayed = await relayEvents({
      response,
      callerResponse: this.#response,
      answers: this.#services.answers,
      lastId: this.#lastId,
      watch: segment.standby,
      writeHead: () => writeStreamHead(this.#response, response),
      onEvents: (lastId, events) => {
        this.#lastId = lastId;
        this.#version = this.#recorder.recordOrigin(state.replica);
        this.#events += 1;
        this.#recorder.recordHeard();
        this.#recorder.recordOutput(events * tokensPerEvent);
        if (!isFirst) return;
        isFirst = false;
        pendingSend.markStarted();
        this.#recorder.recordStart(send);
      },
    });
    this.#recorder.recordLast();
    // The run has ended, whatever is found out about it.
    pendingSend.end();
    const outcome = await checkStreamEnd(relayed, {
      move: this.#move,
      standby: segment.standby,
      check: () => this.#checkConnectionEnd("stream", send),
    });
    if (outcome.hasNoRoom) {
      this.#services.metrics.count("answers_without_room_total");
    }
    const isOwnEnd = send.aborter.signal.aborted || this.#move.isAsked ||
      outcome.hasNoRoom;
    this.#recorder.recordEnd(choice, { ...outcome, isOwnEnd }, this.#lastId);
    return await this.#endRelay(outcome, send);
  }

  #checkConnectionEnd(
    kind: "stream" | "failure",
    { choice: { state }, aborter: { signal } }: StreamSend,
  ): Promise<boolean> {
    const ended = { request: this.#request, state, signal };
    const events = this.#events;
    return checkConnectionEnd(this.#services, { ...ended, kind, events });
  }

  async #endRelay(
    { end, hasNoRoom }: RelayOutcome,
    { choice, aborter }: StreamSend,
  ): Promise<SegmentEnd> {
    const { state } = choice;
    const now = this.#services.clock.now();
    switch (end) {
      case "complete": {
        state.failures.record(false, now);
        this.#response.end();
        this.#recorder.recordComplete();
        return { kind: "done", result: this.#ending.end(200, "answered") };
      }
      case "caller_gone":
        aborter.abort();
        return { kind: "done", result: this.#ending.end(0, "caller_gone") };
      case "broken":
      case "unproven":
        if (!this.#move.isAsked && !aborter.signal.aborted && !hasNoRoom) {
          state.failures.record(true, now);
        }
        return await this.#followMove("lost");
      case "out_of_order":
        state.failures.record(true, now);
        aborter.abort();
        return this.#endSegment("lost");
    }
  }

  /** Handles a response with a status other than 200. */
  async #relayFailure({ response, send }: Segment): Promise<SegmentEnd> {
    const read = await readResponseBody(response, this.#services.answers);
    const isSigned = response.headers[signatureHeader] !== undefined;
    const isWhole = read.kind === "whole" && isSigned &&
      (!endsWithConnection(response, this.#request.method) ||
        await this.#checkConnectionEnd("failure", send));
    if (!isWhole) {
      if (read.kind === "whole") read.share.release();
      if (!send.aborter.signal.aborted && read.kind !== "no_room") {
        send.choice.state.failures.record(true, this.#services.clock.now());
      }
      return this.#endSegment("lost");
    }
    this.#recorder.recordFailure(send.choice, response.statusCode);
    if (this.#attempts.canResume || this.#response.headersSent) {
      read.share.release();
      return this.#endSegment("failed");
    }
    const status = sendBufferedResponse(this.#response, { response, ...read });
    return { kind: "done", result: this.#ending.end(status, "answered") };
  }

  /** Follows a move that ended the segment; otherwise retries the stream. */
  async #followMove(reason: RetryReason): Promise<SegmentEnd> {
    const end = await this.#move.wait();
    if (end.kind === "moved" && !this.#isOver()) {
      return { kind: "moved", target: end.target };
    }
    return this.#endSegment(reason);
  }

  /** Goes on with the standby if there is one; otherwise retries the stream. */
  #endSegment(reason: RetryReason): SegmentEnd {
    if (this.#isOver()) {
      return { kind: "done", result: this.#ending.endEarly() };
    }
    const send = this.#standby?.take();
    return send === undefined
      ? { kind: "retry", reason }
      : { kind: "taken_over", send };
  }

  #createStandby(send: StreamSend): StreamStandby {
    return StreamStandby.create({
      clock: this.#services.clock,
      state: send.choice.state,
      ...computeStallTimeouts(this.#request, send.choice.predictedMs),
      openSend: () => this.#openStandbySend(send),
      onReady: () => send.aborter.abort(),
    });
  }

  /** Sends the stream to a second replica, if one is left and a retry may be. */
  #openStandbySend(silent: StreamSend): StreamSend | undefined {
    if (this.#events === 0) this.#recorder.recordSilence(silent);
    if (!this.#attempts.canResume || this.#move.isPending) return undefined;
    const choice = this.#choose({ target: undefined, mayReuse: false });
    if (choice === undefined) return undefined;
    if (!this.#retries.take("silent", this.#lastId)) return undefined;
    return this.#sends.open(choice, { after: this.#lastId });
  }

  #isOver(): boolean {
    return this.#request.callerSignal.aborted ||
      this.#services.clock.now() >= this.#request.deadline;
  }
}
