/**
 * Records what happens to one stream: engine time, runs, learnt times, crashes, and
 * how its segments ended.
 */

import type { Replica } from "@almondcrank/model/replica.ts";
import type { EngineChoice } from "../choice/engine_choice.ts";
import { computeEngineMs, type EngineTokens } from "../duties/work_meter.ts";
import { CrashRecorder } from "./crash_recorder.ts";
import type { RelayOutcome } from "./event_relay.ts";
import type { SendOutcome } from "./replica_request.ts";
import type { RelayServices } from "./relay_services.ts";
import type { RoutedRequest } from "./routed_request.ts";
import type { StreamSend } from "./stream_segment.ts";

/** Least time to the first event that one is compared with. */
const minPredictedMs = 10;

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
  /** Time of the first event of the segment. */
  #startedAt = 0;
  /** Events of the segment after the first ones. */
  #timedEvents = 0;

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
    this.recordWork({ prompt: 0, output: tokens });
  }

  /** Records engine time that the stream takes. */
  recordWork(tokens: EngineTokens): void {
    const { work, clock } = this.#services;
    const { name, engine } = this.#request.service;
    const ms = computeEngineMs(tokens, engine?.slots ?? Infinity);
    work.record(name, ms, clock.now());
  }

  /** Id under which a caller that comes back names the stream. */
  get #originId(): string | undefined {
    return this.#request.resumedRequest ?? this.#request.id;
  }

  /** Records the first event of a segment. */
  recordStart({ choice, sentAt, isMoved }: StreamSend): void {
    const { clock, runs } = this.#services;
    const now = clock.now();
    this.#startedAt = now;
    this.#timedEvents = 0;
    if (!isMoved) {
      this.#recordAnswer(
        choice,
        "first",
        computeSlowness(now - sentAt, choice),
      );
    }
    choice.state.recordFirstEvent(now - sentAt, choice.predictedMs, now);
    if (!isMoved) runs.recordRun(this.#request.tenant?.name);
  }

  /** Records that a replica gave a whole answer that is no stream. */
  recordFailure(choice: EngineChoice, status = 0): void {
    if (status < 500) return;
    this.#recordAnswer(choice, "first", undefined, true);
  }

  /** Records that a replica has sent nothing for too long. */
  recordSilence({ choice, sentAt }: StreamSend): void {
    const silentMs = this.#services.clock.now() - sentAt;
    this.#recordAnswer(choice, "first", computeSlowness(silentMs, choice));
  }

  /** Records the pace of a segment's events, if it was whole. */
  #recordSegment(choice: EngineChoice, end: SegmentOutcome["end"]): void {
    switch (end) {
      case "complete": {
        const paceMs = (this.#services.clock.now() - this.#startedAt) /
          Math.max(1, this.#timedEvents - 1);
        const isTimed = this.#timedEvents > 1;
        if (isTimed) this.#recordAnswer(choice, "pace", paceMs);
        return;
      }
      case "out_of_order":
        return this.#recordAnswer(choice, "pace", undefined, true);
      case "broken":
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

/** Time to the first event, in hundredths of the predicted one. */
function computeSlowness(ms: number, { predictedMs }: EngineChoice): number {
  return 100 * ms / Math.max(minPredictedMs, predictedMs);
}
