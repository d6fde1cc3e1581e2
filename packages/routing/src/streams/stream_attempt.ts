/**
 * One attempt of a stream on one engine.
 *
 * Only an attempt that has not settled appends to the stream's output, and only
 * the token with the next index. Tokens that an engine sends out of order, or
 * after its attempt was stopped, never reach the caller.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import { formatThrown } from "@almondcrank/common/kind_error.ts";
import type {
  Engine,
  EngineUsage,
  GenerateEvent,
  GenerateRequest,
} from "@almondcrank/endpoint/engine.ts";
import { EndpointError } from "@almondcrank/endpoint/endpoint_error.ts";
import type { StreamOutput } from "./stream_output.ts";
import { createPause, type StreamPause } from "./stream_pause.ts";

/** How an attempt ended. */
export type AttemptOutcome =
  | {
    readonly kind: "ended";
    readonly reason: "stop" | "length";
    readonly usage: EngineUsage;
  }
  | { readonly kind: "failed"; readonly error: EndpointError }
  /** Another attempt of the stream has gone on in its place. */
  | { readonly kind: "replaced" }
  /** The caller cancelled, or a peer has taken the stream over. */
  | { readonly kind: "cancelled" }
  | { readonly kind: "deadline" };

/** Receives measurements of a running attempt. */
export interface AttemptObserver {
  /** Called for each item that the engine sends, before a pause delays it. */
  recordItem(item: GenerateEvent | EndpointError): void;
  /** @param waitMs Milliseconds from the send to the first token. */
  recordFirstToken(waitMs: number): void;
  /** @param gapMs Mean gap in milliseconds over `tokensPerGapSample` tokens. */
  recordTokenGap(gapMs: number): void;
}

/** Tokens whose gaps are averaged into one sample, to report less often. */
const tokensPerGapSample = 16;

/** Options of an attempt. */
export interface AttemptOptions {
  readonly engine: Engine;
  readonly request: GenerateRequest;
  readonly output: StreamOutput;
  readonly clock: Clock;
  readonly observer: AttemptObserver;
  /** Called before the attempt adds a token or ends the answer. */
  readonly onProgress: (attempt: StreamAttempt) => void;
}

/** An attempt, from its send until it settles with an outcome. */
export class StreamAttempt {
  readonly id: string;
  readonly outcome: Promise<AttemptOutcome>;
  readonly #options: AttemptOptions;
  readonly #abort = new AbortController();
  readonly #ended = new AbortController();
  #resolve: (outcome: AttemptOutcome) => void = () => {};
  #isSettled = false;
  #lastProgressAt: number;
  #tokens = 0;
  #gapSumMs = 0;
  #gaps = 0;
  #isBlocked = false;
  #pause: StreamPause | undefined;

  private constructor(options: AttemptOptions) {
    this.id = options.request.id;
    this.#options = options;
    this.#lastProgressAt = options.clock.now();
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

  get isSettled(): boolean {
    return this.#isSettled;
  }

  /** Number of tokens this attempt has appended. */
  get tokens(): number {
    return this.#tokens;
  }

  /**
   * Milliseconds since the engine last made progress; 0 while backpressure from
   * a slow reader blocks it, or the attempt or its stream is paused.
   */
  computeIdleMs(): number {
    return this.#isBlocked || this.#pause !== undefined
      ? 0
      : this.#options.clock.now() - this.#lastProgressAt;
  }

  /** Creates the error of an attempt that made no progress. */
  createTimeout(): EndpointError {
    const endpoint = this.#options.engine.name;
    const timeoutMs = this.computeIdleMs();
    return EndpointError.create({ kind: "timeout", endpoint, timeoutMs });
  }

  /** Settles the attempt and cancels it on its engine; the first call counts. */
  stop(outcome: AttemptOutcome): void {
    if (this.#isSettled) return;
    this.#close(outcome);
    this.#abort.abort();
  }

  /** Keeps the attempt from adding tokens, and from ending, until `resume`. */
  pause(): void {
    this.#pause ??= createPause();
  }

  /** Lets the attempt go on after `pause`. */
  resume(): void {
    if (this.#pause === undefined) return;
    this.#pause.end();
    this.#pause = undefined;
    this.#lastProgressAt = this.#options.clock.now();
  }

  async #run(): Promise<void> {
    const { engine, request, observer } = this.#options;
    try {
      for await (const item of engine.generate(request, this.#abort.signal)) {
        if (this.#isSettled) return;
        const event = item.extract();
        observer.recordItem(event);
        if (this.#isPaused()) await this.#waitResumed();
        if (this.#isSettled) return;
        if (event instanceof Error) {
          return this.#close({ kind: "failed", error: event });
        }
        if (event.kind === "end") return this.#handleEnd(event);
        if (!this.#handleToken(event.index, event.text)) return;
        if (!this.#options.output.isWritable) await this.#waitWritable();
      }
      this.#closeFailed("the answer ended without an end event");
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
      return this.#closeFailed("the engine cancelled the generation");
    }
    this.#options.onProgress(this);
    this.#close({ kind: "ended", reason, usage });
  }

  #handleToken(index: number, text: string): boolean {
    const { output, clock, observer, request } = this.#options;
    const expected = output.tokens.length;
    if (index !== expected || expected >= request.maxTokens) {
      this.#closeFailed(`received token ${index}, expected token ${expected}`);
      return false;
    }
    this.#options.onProgress(this);
    const now = clock.now();
    const gapMs = now - this.#lastProgressAt;
    this.#lastProgressAt = now;
    this.#tokens++;
    if (this.#tokens === 1) observer.recordFirstToken(gapMs);
    else this.#recordGap(gapMs);
    output.add(text);
    return true;
  }

  #recordGap(gapMs: number): void {
    this.#gapSumMs += gapMs;
    if (++this.#gaps < tokensPerGapSample) return;
    this.#options.observer.recordTokenGap(this.#gapSumMs / this.#gaps);
    this.#gapSumMs = 0;
    this.#gaps = 0;
  }

  #isPaused(): boolean {
    return this.#pause !== undefined || this.#options.output.isPaused;
  }

  /** Waits while another replica, or a peer, is to go on from the tokens so far. */
  async #waitResumed(): Promise<void> {
    const { output, clock } = this.#options;
    this.#isBlocked = true;
    while (this.#isPaused() && !this.#isSettled) {
      await this.#pause?.ended;
      await output.waitResumed();
    }
    this.#isBlocked = false;
    this.#lastProgressAt = clock.now();
  }

  async #waitWritable(): Promise<void> {
    this.#isBlocked = true;
    await this.#options.output.waitWritable();
    this.#isBlocked = false;
    this.#lastProgressAt = this.#options.clock.now();
  }

  #closeFailed(reason: string): void {
    const endpoint = this.#options.engine.name;
    this.stop({
      kind: "failed",
      error: EndpointError.create({ kind: "bad_answer", endpoint, reason }),
    });
  }

  #close(outcome: AttemptOutcome): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.resume();
    this.#resolve(outcome);
    this.#ended.abort("ended");
  }
}
