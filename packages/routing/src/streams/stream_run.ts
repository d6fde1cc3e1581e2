/**
 * The life of one accepted request: one task that sends it to a replica and
 * goes on elsewhere until the whole answer is there or nothing more can be done.
 *
 * An attempt that fails is resumed on another replica with the tokens so far.
 * A replica that cannot be reached or lost the connection gets no new work, so
 * resuming its streams needs no retry budget; leaving a replica that is merely
 * slow, or that declined, does, since otherwise a brown-out would multiply the
 * load.
 */

import { EndpointError } from "@almondcrank/endpoint/endpoint_error.ts";
import { computeBlockHashes } from "@almondcrank/endpoint/tokens.ts";
import type { ModelStream } from "../routers/model_router.ts";
import type { RefusalKind } from "../admission/refusal.ts";
import { Refusal } from "../admission/refusal.ts";
import type { ReplicaChoice } from "../choice/replica_chooser.ts";
import { type AttemptOutcome, StreamAttempt } from "./stream_attempt.ts";
import { StreamMigration } from "./stream_migration.ts";
import type { StreamRunServices } from "./stream_run_services.ts";
import { computeContext, type RoutedStream } from "./routed_stream.ts";

/** Longest that the first token may be overdue, as a multiple of its prediction. */
const firstTokenPatience = 4;
const tokenGapPatience = 20;

/** A break in a stream's task. */
interface Pause {
  readonly ended: Promise<void>;
  readonly end: () => void;
}

function createPause(): Pause {
  let end = (): void => {};
  const ended = new Promise<void>((resolve) => end = resolve);
  return { ended, end };
}

/** Task of one stream. */
export class StreamRun {
  readonly stream: RoutedStream;
  readonly #services: StreamRunServices;
  readonly #ended = new AbortController();
  readonly #failed = new Set<string>();
  #attempt: StreamAttempt | undefined;
  #choice: ReplicaChoice | undefined;
  #importId: string | undefined;
  #mayHaveRun = false;
  #migration: StreamMigration | undefined;
  #pause: Pause | undefined;

  private constructor(stream: RoutedStream, services: StreamRunServices) {
    this.stream = stream;
    this.#services = services;
  }

  static create(stream: RoutedStream, services: StreamRunServices): StreamRun {
    return new StreamRun(stream, services);
  }

  /** Endpoint of the current attempt. */
  get endpoint(): string | undefined {
    return this.#choice?.endpoint.name;
  }

  /** Runs the stream to its end, beginning with `choice` if there is one. */
  async run(choice: ReplicaChoice | undefined): Promise<void> {
    let next = choice ?? await this.#waitChoice();
    while (next !== undefined && !this.#isOver()) {
      if (this.#pause !== undefined) {
        await this.#pause.ended;
        next = this.#isOver() ? undefined : await this.#waitChoice();
        continue;
      }
      const outcome = await this.#runAttempt(next);
      next = await this.#handleOutcome(next, outcome);
    }
    if (this.stream.log.final === undefined && !this.stream.isHandedOver) {
      this.#closeFailed(
        "endpoint_failed",
        "no endpoint could finish the request",
      );
    }
    this.#ended.abort("ended");
  }

  /** Cancels the request. */
  cancel(): void {
    this.#attempt?.stop({ kind: "cancelled" });
    this.#closeFailed("stream_lost", "the request was cancelled");
  }

  /** Stops generating until `resume` or `release`. */
  pause(): void {
    this.#pause ??= createPause();
    this.#attempt?.stop({ kind: "cancelled" });
  }

  /** Goes on after a pause. */
  resume(): void {
    this.#pause?.end();
    this.#pause = undefined;
  }

  /** Ends the task without an end of the stream: `successor` goes on with it. */
  release(successor: ModelStream): void {
    this.stream.setSuccessor(successor);
    this.resume();
    this.#ended.abort("ended");
  }

  /** Moves the stream off an endpoint that is gone in `remainingMs`. */
  migrate(remainingMs: number): void {
    const attempt = this.#attempt;
    const choice = this.#choice;
    if (attempt === undefined || choice === undefined) return;
    if (this.#migration?.attempt === attempt) return;
    this.#migration = StreamMigration.create({
      attempt,
      from: choice.endpoint,
      stream: this.stream,
      services: this.#services,
      choose: () => this.#choose(choice.endpoint.name),
      signal: this.#ended.signal,
    });
    void this.#migration.run(remainingMs);
  }

  #isOver(): boolean {
    return this.stream.log.final !== undefined || this.#ended.signal.aborted;
  }

  async #runAttempt(choice: ReplicaChoice): Promise<AttemptOutcome> {
    const { loads, prefixes, clock, limits } = this.#services;
    const { stream } = this;
    const { endpoint } = choice;
    const chain = this.#computeChain();
    const input = stream.inputTokens;
    this.#services.retries.recordSend(endpoint.name);
    loads.recordSend(endpoint.name, Math.max(0, input - choice.cachedTokens));
    prefixes.recordSend(chain, endpoint.name);
    stream.usage.recordSend();
    const tokensBefore = stream.log.tokens.length;
    const attempt = this.#startAttempt(choice);
    this.#attempt = attempt;
    this.#choice = choice;
    const { state } = loads.find(endpoint.name) ?? {};
    if (state?.kind === "leaving") this.migrate(state.goneAt - clock.now());
    void this.#watch(
      attempt,
      Math.max(
        firstTokenPatience * choice.firstTokenMs,
        limits.minFirstTokenWaitMs,
      ),
    );
    const outcome = await attempt.outcome;
    loads.recordEnd(endpoint.name);
    if (outcome.kind === "ended") {
      const { seenTokens } = choice;
      stream.usage.recordUsage(outcome.usage, { tokensBefore, seenTokens });
    }
    return outcome;
  }

  #startAttempt(choice: ReplicaChoice): StreamAttempt {
    const { engines, loads, clock, metrics } = this.#services;
    const { request, id, log, usage } = this.stream;
    const importId = this.#importId;
    this.#importId = undefined;
    const name = choice.endpoint.name;
    return StreamAttempt.start({
      engine: engines(choice.endpoint),
      log,
      clock,
      observer: {
        recordFirstToken: (waitMs) => {
          usage.recordFirstToken();
          loads.recordFirstToken(name, waitMs - choice.firstTokenMs);
          metrics.recordDuration("engine_first_token_seconds", waitMs);
        },
        recordTokenGap: (gapMs) => loads.recordTokenGap(name, gapMs),
      },
      request: {
        id: `${id}.${usage.attempts}`,
        model: request.service.model,
        ...(request.adapter === undefined ? {} : { adapter: request.adapter }),
        prompt: request.prompt,
        tokensSoFar: [...log.tokens],
        maxTokens: request.maxTokens,
        priority: request.team.priority,
        remainingMs: Math.max(0, request.deadline - clock.now()),
        ...(importId === undefined ? {} : { importId }),
      },
    });
  }

  /** Stops an attempt at the deadline or when its engine makes no progress. */
  async #watch(attempt: StreamAttempt, firstTokenMs: number): Promise<void> {
    const { clock, limits, retries, metrics } = this.#services;
    const { request } = this.stream;
    const gapMs = Math.max(
      limits.minTokenGapMs,
      tokenGapPatience * request.service.target.betweenTokensMs,
    );
    let patience = 1;
    while (!attempt.settled) {
      const leftMs = request.deadline - clock.now();
      if (leftMs <= 0) return attempt.stop({ kind: "deadline" });
      const allowedMs = patience *
        (attempt.tokens === 0 ? firstTokenMs : gapMs);
      const idleMs = attempt.computeIdleMs();
      if (idleMs < allowedMs) {
        // At least a millisecond, since less may not move a floating clock.
        const waitMs = Math.max(1, Math.min(leftMs, allowedMs - idleMs));
        await clock.sleep(waitMs, attempt.ended);
        continue;
      }
      if (retries.takeRetry(attempt.engine.name, "timeout")) {
        const endpoint = attempt.engine.name;
        const timeoutMs = idleMs;
        const error = EndpointError.create({
          kind: "timeout",
          endpoint,
          timeoutMs,
        });
        return attempt.stop({ kind: "failed", error });
      }
      metrics.count("retries_refused_total", { reason: "timeout" });
      patience *= 2;
    }
  }

  async #handleOutcome(
    choice: ReplicaChoice,
    outcome: AttemptOutcome,
  ): Promise<ReplicaChoice | undefined> {
    switch (outcome.kind) {
      case "ended":
        this.#closeWhole(outcome.reason, choice);
        return undefined;
      case "failed":
        return await this.#handleFailure(choice, outcome.error);
      case "moved":
        return this.#handleMove(outcome.to, outcome.importId);
      case "deadline":
        this.#closeFailed(
          "deadline",
          "the deadline passed before the answer ended",
        );
        return undefined;
      case "cancelled":
        return this.#pause === undefined ? undefined : choice;
    }
  }

  #handleMove(to: ReplicaChoice, importId: string | undefined): ReplicaChoice {
    this.#importId = importId;
    if (importId === undefined) return to;
    return { ...to, cachedTokens: this.stream.inputTokens };
  }

  async #handleFailure(
    choice: ReplicaChoice,
    error: EndpointError,
  ): Promise<ReplicaChoice | undefined> {
    const { loads, metrics, limits } = this.#services;
    const { log, request, usage } = this.stream;
    loads.recordFailure(error);
    this.#failed.add(choice.endpoint.name);
    if (error.run !== "not_run") this.#mayHaveRun = true;
    // Killed between its last token and the end mark.
    if (log.tokens.length >= request.maxTokens) {
      this.#closeWhole("length", choice);
      return undefined;
    }
    if (usage.attempts >= limits.maxAttempts || !this.#takeRetry(error)) {
      metrics.count("retries_refused_total", { reason: error.kind });
      this.#closeFailed("endpoint_failed", error.message);
      return undefined;
    }
    const kind = log.tokens.length > 0
      ? "stream_resumes_total"
      : "stream_retries_total";
    metrics.count(kind, { reason: error.kind });
    return await this.#waitChoice();
  }

  #takeRetry(error: EndpointError): boolean {
    switch (error.kind) {
      case "unreachable":
      case "connection_lost":
      case "bad_answer":
      // The budget was asked before the attempt was stopped.
      case "timeout":
        return true;
      case "declined":
      case "stale_fencing":
        return this.#services.retries.takeRetry(
          error.detail.endpoint,
          "declined",
        );
    }
  }

  /** Chooses the next replica, waiting shortly while none can take work. */
  async #waitChoice(): Promise<ReplicaChoice | undefined> {
    const { clock, limits, metrics } = this.#services;
    const { request } = this.stream;
    let pauseMs = limits.initialBackoffMs;
    for (let pause = 0; pause <= limits.maxBackoffs; pause++) {
      const choice = this.#choose(undefined);
      if (choice !== undefined) return choice;
      if (clock.now() + pauseMs >= request.deadline) break;
      metrics.count("stream_pauses_total", { reason: "no_endpoint" });
      await clock.sleep(pauseMs, this.#ended.signal);
      if (this.#isOver()) return undefined;
      pauseMs *= 2;
    }
    return undefined;
  }

  #choose(leaving: string | undefined): ReplicaChoice | undefined {
    const { chooser } = this.#services;
    const { request, log } = this.stream;
    const excluded = new Set(this.#failed);
    if (leaving !== undefined) excluded.add(leaving);
    const asked = {
      service: request.service.name,
      chain: this.#computeChain(),
      opening: this.stream.opening,
      inputTokens: this.stream.inputTokens,
      outputTokens: request.maxTokens - log.tokens.length,
      betweenTokensMs: request.service.target.betweenTokensMs,
    };
    const choice = chooser.choose({ ...asked, excluded });
    if (choice !== undefined || this.#failed.size === 0) return choice;
    // All others are gone, so one that failed before may be tried again.
    const left = new Set(leaving === undefined ? [] : [leaving]);
    return chooser.choose({ ...asked, excluded: left });
  }

  #computeChain(): readonly number[] {
    const { promptTokens, chain, log, request } = this.stream;
    if (log.tokens.length === 0) return chain;
    const context = computeContext(request.prompt, promptTokens, log.tokens);
    return computeBlockHashes(this.#services.hasher, context);
  }

  #closeWhole(reason: "stop" | "length", choice: ReplicaChoice): void {
    const { loads, prefixes, metrics } = this.#services;
    const { log, usage } = this.stream;
    prefixes.recordSend(this.#computeChain(), choice.endpoint.name);
    loads.recordOutput(log.tokens.length);
    const total = usage.compute(log.tokens.length);
    metrics.count("streams_finished_total", { reason });
    metrics.count("tokens_computed_total", {}, total.computedTokens);
    metrics.count("tokens_recomputed_total", {}, total.recomputedTokens);
    metrics.count("tokens_cached_total", {}, total.cachedTokens);
    log.close({ kind: "end", reason, usage: total });
  }

  #closeFailed(kind: RefusalKind, message: string): void {
    const { log } = this.stream;
    if (log.final !== undefined) return;
    this.#services.metrics.count("streams_failed_total", { reason: kind });
    const ran = log.tokens.length > 0;
    const unsettled = this.#mayHaveRun || this.#attempt?.settled === false ||
      kind === "deadline";
    const refusal = Refusal.create({
      kind,
      run: ran ? "ran" : unsettled ? "unknown" : "not_run",
      retryAfterMs: kind === "endpoint_failed" ? 1_000 : undefined,
      message: `${message}; send the request again if the answer is needed`,
    });
    log.close({ kind: "failed", refusal });
  }
}
