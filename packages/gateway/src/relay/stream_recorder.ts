/**
 * Records what happens to one stream: engine time, runs, learnt times, crashes, and
 * how its segments ended.
 */

import { assumedTokensPerMs } from "@almondcrank/routing/placement/first_event_model.ts";
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

/** Least time to the first event that one is compared with. */
const minExpectedMs = 10;
/** Bounds of the stated slowness of a replica from which costs are learnt. */
const leastLearntSlowness = 0.4;
const mostLearntSlowness = 4;

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
  /** Time of the first event of the segment. */
  #segmentStartedAt = 0;
  /** Time at which the response of the segment ended. */
  #segmentEndedAt = 0;
  /** Events of the segment after the first ones. */
  #timedEvents = 0;
  /** Sends whose first event, or its absence, has been compared. */
  readonly #compared = new WeakSet<EngineChoice>();

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

  /** Records that output has arrived, whatever is in it. */
  recordHeard(): void {
    const { reach, clock } = this.#services;
    reach.recordHeard(this.#request.service.name, clock.now());
  }

  /** Records that the response of a segment has ended, in whatever way. */
  recordLast(): void {
    this.#segmentEndedAt = this.#services.clock.now();
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
      runMs: this.#segmentEndedAt - this.#startedAt,
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
    this.#timedEvents += 1;
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
    this.#segmentStartedAt = now;
    this.#timedEvents = 0;
    if (isMoved) {
      choice.state.recordFirstEvent(observedMs, choice.predictedMs, now);
      return;
    }
    runs.recordRun(this.#request.tenant?.name);
    this.#recordFirst(choice, observedMs);
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
    // What the version costs on all nodes must not hang on one replica's word.
    if (slowness < leastLearntSlowness || slowness > mostLearntSlowness) return;
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
    if (isQueued) state.recordQueued(observedMs, predictedMs, now);
    else state.recordFirstEvent(observedMs, usualMs, now);
    this.#request.trace.record("stream started.", {
      replica: state.replica.id,
      observedMs: Math.round(observedMs),
      predictedMs: Math.round(predictedMs),
      usualMs: Math.round(usualMs),
      statedSlowness: state.speed.readStated(now)?.slowness,
    });
  }

  /** Records that a replica gave a whole answer that is no stream. */
  recordFailure(choice: EngineChoice, status = 0): void {
    if (status < 500) return;
    this.#recordAnswer(choice, "first", undefined, true);
  }

  /** Records that a replica has sent nothing for too long. */
  recordSilence({ choice, sentAt }: StreamSend): void {
    this.#recordFirst(choice, this.#services.clock.now() - sentAt);
  }

  /** Records the time of a send's first event, or its silence, once. */
  #recordFirst(choice: EngineChoice, ms: number): void {
    if (this.#compared.has(choice)) return;
    this.#compared.add(choice);
    this.#recordAnswer(choice, "first", computeSlowness(ms, choice));
  }

  /** Records the pace of a segment's events, if it was whole. */
  #recordSegment(choice: EngineChoice, end: SegmentOutcome["end"]): void {
    switch (end) {
      case "complete": {
        const paceMs = (this.#segmentEndedAt - this.#segmentStartedAt) /
          Math.max(1, this.#timedEvents - 1);
        const isTimed = this.#timedEvents > 1;
        if (isTimed) this.#recordAnswer(choice, "pace", paceMs);
        return;
      }
      case "out_of_order":
        return this.#recordAnswer(choice, "pace", undefined, true);
      case "broken":
      case "unproven":
      case "caller_gone":
        return;
    }
  }

  #recordAnswer(
    { state }: EngineChoice,
    measure: string,
    time: number | undefined,
    hasFailed = false,
  ): void {
    const route = this.#request.route.name;
    const answer = { route, measure, hasFailed, time };
    this.#services.gate.recordAnswer(state, answer);
  }

  /**
   * Records how a segment ended.
   *
   * @param lastId Id of the last event that the caller has received.
   */
  recordEnd(
    choice: EngineChoice,
    outcome: SegmentOutcome,
    lastId: number | undefined,
  ): void {
    const { end, framing, unfinishedBytes, hasDisconnected, isOwnEnd } =
      outcome;
    const { metrics } = this.#services;
    const { state } = choice;
    if (end === "complete") this.#crashes.recordWhole();
    this.#recordSegment(choice, end);
    const isCut = end === "broken" || end === "unproven";
    if (isCut && hasDisconnected && !isOwnEnd) {
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

/**
 * Time to the first event, in hundredths of what its tokens take by assumption. What
 * is learnt of a version, or of a replica, would hide that a new version is slow.
 */
function computeSlowness(ms: number, { work }: EngineChoice): number {
  const expectedMs = work.tokens / assumedTokensPerMs;
  return 100 * ms / (minExpectedMs + expectedMs);
}
