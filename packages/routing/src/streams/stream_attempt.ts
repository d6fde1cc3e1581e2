/**
 * One attempt of a stream on one engine.
 *
 * Only an attempt that has not settled appends to the stream's log, and only
 * the token whose index is next: whatever an engine sends after the attempt was
 * given up, or out of order, never reaches the caller.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import { formatThrown } from "@almondcrank/common/kind_error.ts";
import type {
  Engine,
  EngineUsage,
  GenerateRequest,
} from "@almondcrank/endpoint/engine.ts";
import { EndpointError } from "@almondcrank/endpoint/endpoint_error.ts";
import type { ReplicaChoice } from "../choice/replica_chooser.ts";
import type { StreamOutput } from "./stream_output.ts";

/** How an attempt ended. */
export type AttemptOutcome =
  | {
    readonly kind: "ended";
    readonly reason: "stop" | "length";
    readonly usage: EngineUsage;
  }
  | { readonly kind: "failed"; readonly error: EndpointError }
  /** The stream goes on elsewhere, with an imported cache if there is one. */
  | {
    readonly kind: "moved";
    readonly to: ReplicaChoice;
    readonly importId: string | undefined;
  }
  /** Nobody wants the answer any more. */
  | { readonly kind: "cancelled" }
  | { readonly kind: "deadline" };

/** What an attempt tells while it runs. */
export interface AttemptObserver {
  /** @param waitMs Time from the send to the first token. */
  recordFirstToken(waitMs: number): void;
  /** @param gapMs Mean over the last `tokensPerObservation` tokens. */
  recordTokenGap(gapMs: number): void;
}

/** Tokens over which gaps are averaged, so that most cost no bookkeeping. */
const tokensPerObservation = 16;

/** Options of an attempt. */
export interface AttemptOptions {
  readonly engine: Engine;
  readonly request: GenerateRequest;
  readonly log: StreamOutput;
  readonly clock: Clock;
  readonly observer: AttemptObserver;
}

/** A running attempt. */
export class StreamAttempt {
  readonly id: string;
  readonly outcome: Promise<AttemptOutcome>;
  readonly #options: AttemptOptions;
  readonly #abort = new AbortController();
  readonly #ended = new AbortController();
  #resolve: (outcome: AttemptOutcome) => void = () => {};
  #settled = false;
  #progressAt: number;
  #tokens = 0;
  #gapSumMs = 0;
  #gaps = 0;
  #held = false;

  private constructor(options: AttemptOptions) {
    this.id = options.request.id;
    this.#options = options;
    this.#progressAt = options.clock.now();
    this.outcome = new Promise((resolve) => this.#resolve = resolve);
  }

  /** Sends the request and starts to read its answer. */
  static start(options: AttemptOptions): StreamAttempt {
    const attempt = new StreamAttempt(options);
    void attempt.#run();
    return attempt;
  }

  get engine(): Engine {
    return this.#options.engine;
  }

  /** Aborts when the attempt has settled. */
  get ended(): AbortSignal {
    return this.#ended.signal;
  }

  get settled(): boolean {
    return this.#settled;
  }

  /** Tokens this attempt has appended. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Time since the engine last made progress; 0 while a reader holds it back. */
  computeIdleMs(): number {
    return this.#held ? 0 : this.#options.clock.now() - this.#progressAt;
  }

  /** Settles the attempt and cancels it on its engine; the first call counts. */
  stop(outcome: AttemptOutcome): void {
    if (this.#settled) return;
    this.#close(outcome);
    this.#abort.abort();
  }

  async #run(): Promise<void> {
    const { engine, request } = this.#options;
    try {
      for await (const item of engine.generate(request, this.#abort.signal)) {
        if (this.#settled) return;
        const event = item.extract();
        if (event instanceof Error) {
          return this.#close({ kind: "failed", error: event });
        }
        if (event.kind === "end") return this.#handleEnd(event);
        if (!this.#handleToken(event.index, event.text)) return;
        if (!this.#options.log.isWritable) await this.#waitRoom();
      }
      this.#closeFailed("answer ended without its end mark");
    } catch (error) {
      this.#closeFailed(formatThrown(error));
    }
  }

  #handleEnd(event: {
    readonly reason: "stop" | "length" | "cancelled";
    readonly usage: EngineUsage;
  }): void {
    const { reason, usage } = event;
    if (reason === "cancelled") {
      return this.#closeFailed("generation was cancelled");
    }
    this.#close({ kind: "ended", reason, usage });
  }

  #handleToken(index: number, text: string): boolean {
    const { log, clock, observer, request } = this.#options;
    const expected = log.tokens.length;
    if (index !== expected || expected >= request.maxTokens) {
      this.#closeFailed(`token ${index} came where ${expected} was due`);
      return false;
    }
    const now = clock.now();
    const gapMs = now - this.#progressAt;
    this.#progressAt = now;
    this.#tokens++;
    if (this.#tokens === 1) observer.recordFirstToken(gapMs);
    else this.#recordGap(gapMs);
    log.add(text);
    return true;
  }

  #recordGap(gapMs: number): void {
    this.#gapSumMs += gapMs;
    if (++this.#gaps < tokensPerObservation) return;
    this.#options.observer.recordTokenGap(this.#gapSumMs / this.#gaps);
    this.#gapSumMs = 0;
    this.#gaps = 0;
  }

  async #waitRoom(): Promise<void> {
    this.#held = true;
    await this.#options.log.waitWritable();
    this.#held = false;
    this.#progressAt = this.#options.clock.now();
  }

  #closeFailed(reason: string): void {
    const endpoint = this.#options.engine.name;
    this.stop({
      kind: "failed",
      error: EndpointError.create({ kind: "bad_answer", endpoint, reason }),
    });
  }

  #close(outcome: AttemptOutcome): void {
    if (this.#settled) return;
    this.#settled = true;
    this.#resolve(outcome);
    this.#ended.abort("ended");
  }
}
