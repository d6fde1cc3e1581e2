/**
 * Records what happens to one stream: engine time, runs, learnt times, crashes, and
 * how its segments ended.
 */

import type { Replica } from "@almondcrank/model/replica.ts";
import type { ReplicaState } from "../choice/replica_state.ts";
import type { EngineChoice } from "../choice/engine_choice.ts";
import { computeEngineMs } from "../duties/work_meter.ts";
import { CrashRecorder } from "./crash_recorder.ts";
import type { RelayOutcome } from "./event_relay.ts";
import type { SendOutcome } from "./replica_request.ts";
import type { RelayServices } from "./relay_services.ts";
import { composeShape } from "./request_shape.ts";
import type { RoutedRequest } from "./routed_request.ts";
import type { StreamSend } from "./stream_segment.ts";

/** How the response of a segment ended. */
export interface SegmentOutcome extends RelayOutcome {
  /** Whether this node may have ended it. */
  readonly isOwnEnd: boolean;
}

/** Recorder of one stream. */
export class StreamRecorder {
  readonly #services: RelayServices;
  readonly #request: RoutedRequest;
  readonly #crashes: CrashRecorder;
  #version: string | undefined;
  /** Output tokens that have arrived. */
  #outputTokens = 0;
  /** Time of the first event, which is when it began to run. */
  #startedAt: number | undefined;

  private constructor(services: RelayServices, request: RoutedRequest) {
    this.#services = services;
    this.#request = request;
    this.#crashes = CrashRecorder.create(services, request);
  }

  static create(
    services: RelayServices,
    request: RoutedRequest,
  ): StreamRecorder {
    return new StreamRecorder(services, request);
  }

  /**
   * Records, once, which version the caller's events are of, for the case that
   * the caller comes back to a route on which it may; returns that version.
   */
  recordOrigin({ service, softwareVersion }: Replica): string {
    if (this.#version !== undefined) return this.#version;
    this.#version = softwareVersion;
    const id = this.#originId;
    if (id !== undefined && this.#request.route.isResumable) {
      const origin = { service, version: softwareVersion };
      this.#services.origins.begin(id, origin);
    }
    return softwareVersion;
  }

  /** Records that the caller has the whole stream. */
  recordComplete(): void {
    const id = this.#originId;
    if (id !== undefined) this.#services.origins.complete(id);
    this.#recordLength();
  }

  /** Records what a stream brought that began and ended here. */
  #recordLength(): void {
    const { costs, clock, metrics } = this.#services;
    const isWhole = this.#request.resumeAfter === undefined;
    if (!isWhole || this.#startedAt === undefined) return;
    const softwareVersion = this.#version ?? "";
    const shape = composeShape(this.#request, {
      softwareVersion,
      uncachedTokens: 0,
    });
    const now = clock.now();
    const labels = { service: shape.service, route: shape.route };
    const predicted = costs.outputs.predict(shape).tokens;
    metrics.count("output_tokens_predicted_total", labels, predicted);
    metrics.count("output_tokens_total", labels, this.#outputTokens);
    costs.outputs.record(shape, {
      tokens: this.#outputTokens,
      runMs: now - this.#startedAt,
    }, now);
  }

  /** Whether the parts of the prompt allow to send the stream again. */
  mayRepeat(): boolean {
    return this.#crashes.mayRepeat();
  }

  /** Records how a send ended. */
  recordSend({ choice, aborter }: StreamSend, outcome: SendOutcome): void {
    const { state } = choice;
    this.#request.trace.record("send ended.", {
      replica: state.replica.id,
      outcome: outcome.kind,
      reason: "reason" in outcome ? outcome.reason : undefined,
    });
    const isBroken = outcome.kind === "lost" && outcome.isReset &&
      !aborter.signal.aborted;
    if (isBroken) this.#crashes.recordBroken(state);
  }

  /** Records that the response of a segment has begun. */
  recordBegin(): void {
    this.#crashes.recordBegin();
  }

  /** Records that output has arrived, and the engine time that it took. */
  recordOutput(tokens: number): void {
    this.#crashes.recordOutput();
    this.#outputTokens += tokens;
    const { work, clock } = this.#services;
    const { name, engine } = this.#request.service;
    const output = { prompt: 0, output: tokens };
    const ms = computeEngineMs(output, { slots: engine?.slots ?? Infinity });
    work.record(name, ms, clock.now());
  }

  /** Records the engine time of a prompt's tokens that a replica computes. */
  recordPrompt(tokens: number, { replica, speed }: ReplicaState): void {
    const { work, clock, costs } = this.#services;
    const { name, engine } = this.#request.service;
    const { softwareVersion } = replica;
    const key = { service: name, softwareVersion };
    const now = clock.now();
    const usual = costs.firstEvents.computeTokensPerMs(key, now);
    const ms = computeEngineMs({ prompt: tokens, output: 0 }, {
      slots: engine?.slots ?? Infinity,
      tokensPerMs: usual / speed.readLasting(now),
    });
    work.record(name, ms, now);
  }

  /** Id under which a caller that comes back names the stream. */
  get #originId(): string | undefined {
    return this.#request.resumedRequest ?? this.#request.id;
  }

  /** Records the first event of a segment. */
  recordStart({ choice, sentAt, isMoved }: StreamSend): void {
    const { clock, runs, metrics, costs } = this.#services;
    const now = clock.now();
    const observedMs = now - sentAt;
    this.#startedAt ??= now;
    if (isMoved) {
      choice.state.recordFirstEvent(observedMs, choice.predictedMs, now);
      return;
    }
    runs.recordRun(this.#request.tenant?.name);
    const { service, softwareVersion } = choice.state.replica;
    const labels = { service, route: this.#request.route.name };
    metrics.recordDuration("first_event_seconds", observedMs, labels);
    metrics.recordDuration(
      "first_event_predicted_seconds",
      choice.predictedMs,
      labels,
    );
    this.#recordFirstEvent(choice, observedMs, now);
    const { work } = choice;
    // A wait for a slot says nothing of what the tokens take.
    if (choice.isQueued || this.#request.resumeAfter !== undefined) return;
    const key = { service, softwareVersion };
    const slowness = choice.state.speed.readStatedSlowness(now);
    costs.firstEvents.record(key, {
      work,
      observedMs: observedMs / slowness,
    }, now);
  }

  /** Records how fast the replica was, and the prediction for the log. */
  #recordFirstEvent(
    { state, predictedMs, usualMs, isQueued }: EngineChoice,
    observedMs: number,
    now: number,
  ): void {
    state.recordFirstEvent(observedMs, isQueued ? predictedMs : usualMs, now);
    this.#request.trace.record("stream started.", {
      replica: state.replica.id,
      observedMs: Math.round(observedMs),
      predictedMs: Math.round(predictedMs),
      usualMs: Math.round(usualMs),
      statedSlowness: state.speed.readStated(now)?.slowness,
    });
  }

  /**
   * Records how a segment ended.
   *
   * @param lastId Id of the last event that the caller has received.
   */
  recordEnd(
    { state }: EngineChoice,
    outcome: SegmentOutcome,
    lastId: number | undefined,
  ): void {
    const { end, framing, unfinishedBytes, hasDisconnected, isOwnEnd } =
      outcome;
    const { metrics } = this.#services;
    if (end === "complete") this.#crashes.recordWhole();
    if (end === "broken" && hasDisconnected && !isOwnEnd) {
      this.#crashes.recordBroken(state);
    }
    metrics.count("stream_segments_total", { end, framing });
    if (unfinishedBytes > 0) {
      metrics.count("unfinished_events_total", { end, framing });
    }
    this.#request.trace.record("stream segment ended.", {
      replica: state.replica.id,
      version: state.replica.softwareVersion,
      end,
      framing,
      unfinishedBytes,
      after: lastId,
    });
  }
}
