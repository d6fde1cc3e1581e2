/**
 * Runs one accepted request to its end.
 *
 * A run sends the request to a replica. When an attempt fails, it resumes on
 * another replica with the tokens so far, until the answer is complete or no
 * attempt is left. A replica that cannot be reached or lost the connection gets
 * no new work, so resuming its streams takes no retry budget. Leaving a replica
 * that is only slow, or that declined, takes budget; otherwise a brown-out would
 * multiply the load.
 */

import { EndpointError } from "@almondcrank/endpoint/endpoint_error.ts";
import type { ModelStream } from "../routers/model_router.ts";
import type { RefusalKind } from "../admission/refusal.ts";
import { Refusal } from "../admission/refusal.ts";
import type { ReplicaChoice } from "../choice/replica_chooser.ts";
import { AttemptSender, computeChain } from "./attempt_sender.ts";
import { ReplicaSearch } from "./replica_search.ts";
import type { AttemptOutcome, StreamAttempt } from "./stream_attempt.ts";
import { StreamMigration } from "./stream_migration.ts";
import type { StreamRunServices } from "./stream_run_services.ts";
import type { RoutedStream } from "./routed_stream.ts";

/** Timeout of the first token, as a multiple of its predicted time. */
const firstTokenTimeoutFactor = 4;
/** Timeout between tokens, as a multiple of the service's target. */
const tokenGapTimeoutFactor = 20;

/** A pause of a run. */
interface Pause {
  readonly ended: Promise<void>;
  readonly end: () => void;
}

function createPause(): Pause {
  let end = (): void => {};
  const ended = new Promise<void>((resolve) => end = resolve);
  return { ended, end };
}

/** Runs the attempts of one stream. */
export class StreamRun {
  readonly stream: RoutedStream;
  readonly #services: StreamRunServices;
  readonly #ended = new AbortController();
  readonly #sender: AttemptSender;
  readonly #search: ReplicaSearch;
  #attempt: StreamAttempt | undefined;
  #choice: ReplicaChoice | undefined;
  #importId: string | undefined;
  #mayHaveRun = false;
  #migration: StreamMigration | undefined;
  #pause: Pause | undefined;

  private constructor(stream: RoutedStream, services: StreamRunServices) {
    this.stream = stream;
    this.#services = services;
    this.#sender = AttemptSender.create(stream, services);
    this.#search = ReplicaSearch.create(stream, services);
  }

  static create(stream: RoutedStream, services: StreamRunServices): StreamRun {
    return new StreamRun(stream, services);
  }

  /** Name of the endpoint of the latest attempt. */
  get endpoint(): string | undefined {
    return this.#choice?.endpoint.name;
  }

  /** Runs the stream to its end, with its first attempt on `choice` if given. */
  async run(choice: ReplicaChoice | undefined): Promise<void> {
    let next = choice ?? await this.#search.wait(this.#ended.signal);
    while (next !== undefined && !this.#isEnded()) {
      if (this.#pause !== undefined) {
        await this.#pause.ended;
        next = this.#isEnded()
          ? undefined
          : await this.#search.wait(this.#ended.signal);
        continue;
      }
      const outcome = await this.#runAttempt(next);
      next = await this.#handleOutcome(next, outcome);
    }
    if (this.stream.output.final === undefined && !this.stream.isHandedOver) {
      this.#closeFailed(
        "endpoint_failed",
        "no endpoint could finish the request",
      );
    }
    this.#ended.abort("ended");
  }

  /** Cancels the current attempt and ends the stream as failed. */
  cancel(): void {
    this.#attempt?.stop({ kind: "cancelled" });
    this.#closeFailed("stream_lost", "the request was cancelled");
  }

  /** Stops generation until `resume` or `release`. */
  pause(): void {
    this.#pause ??= createPause();
    this.#attempt?.stop({ kind: "cancelled" });
  }

  /** Continues after a pause. */
  resume(): void {
    this.#pause?.end();
    this.#pause = undefined;
  }

  /** Ends this run without ending the stream, which `successor` continues. */
  release(successor: ModelStream): void {
    this.stream.setSuccessor(successor);
    this.resume();
    this.#ended.abort("ended");
  }

  /**
   * Migrates the stream from its endpoint.
   *
   * @param remainingMs Milliseconds until the endpoint's host is taken back.
   */
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
      choose: () => this.#search.choose(choice.endpoint.name),
      signal: this.#ended.signal,
    });
    void this.#migration.run(remainingMs);
  }

  #isEnded(): boolean {
    return this.stream.output.final !== undefined || this.#ended.signal.aborted;
  }

  async #runAttempt(choice: ReplicaChoice): Promise<AttemptOutcome> {
    const { loads, clock, limits } = this.#services;
    const { endpoint } = choice;
    const importId = this.#importId;
    this.#importId = undefined;
    const { attempt, ended } = this.#sender.send(choice, importId);
    this.#attempt = attempt;
    this.#choice = choice;
    const { state } = loads.find(endpoint.name) ?? {};
    if (state?.kind === "leaving") this.migrate(state.goneAt - clock.now());
    void this.#watchProgress(
      attempt,
      Math.max(
        firstTokenTimeoutFactor * choice.firstTokenMs,
        limits.minFirstTokenWaitMs,
      ),
    );
    return await ended;
  }

  /**
   * Stops an attempt at the deadline, or when its engine makes no progress and
   * the retry budget allows another attempt. Without budget the timeout doubles.
   */
  async #watchProgress(
    attempt: StreamAttempt,
    firstTokenMs: number,
  ): Promise<void> {
    const { clock, limits, retries, metrics } = this.#services;
    const { request } = this.stream;
    const gapMs = Math.max(
      limits.minTokenGapMs,
      tokenGapTimeoutFactor * request.service.target.betweenTokensMs,
    );
    let timeoutFactor = 1;
    while (!attempt.isSettled) {
      const leftMs = request.deadline - clock.now();
      if (leftMs <= 0) return attempt.stop({ kind: "deadline" });
      const allowedMs = timeoutFactor *
        (attempt.tokens === 0 ? firstTokenMs : gapMs);
      const idleMs = attempt.computeIdleMs();
      if (idleMs < allowedMs) {
        // Sleeps of under 1 ms may not advance a floating-point clock.
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
      timeoutFactor *= 2;
    }
  }

  async #handleOutcome(
    choice: ReplicaChoice,
    outcome: AttemptOutcome,
  ): Promise<ReplicaChoice | undefined> {
    switch (outcome.kind) {
      case "ended":
        this.#closeComplete(outcome.reason, choice);
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
    const { output, request, usage } = this.stream;
    loads.recordFailure(error);
    this.#search.recordFailure(choice.endpoint.name);
    if (error.run !== "not_run") this.#mayHaveRun = true;
    // The replica failed after its last token but before the end event.
    if (output.tokens.length >= request.maxTokens) {
      this.#closeComplete("length", choice);
      return undefined;
    }
    if (usage.attempts >= limits.maxAttempts || !this.#takeRetry(error)) {
      metrics.count("retries_refused_total", { reason: error.kind });
      this.#closeFailed("endpoint_failed", error.message);
      return undefined;
    }
    const kind = output.tokens.length > 0
      ? "stream_resumes_total"
      : "stream_retries_total";
    metrics.count(kind, { reason: error.kind });
    return await this.#search.wait(this.#ended.signal);
  }

  #takeRetry(error: EndpointError): boolean {
    switch (error.kind) {
      case "unreachable":
      case "connection_lost":
      case "bad_answer":
      // `#watchProgress` took budget before it stopped the attempt.
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

  #closeComplete(reason: "stop" | "length", choice: ReplicaChoice): void {
    const { loads, prefixes, metrics } = this.#services;
    const { output, usage } = this.stream;
    prefixes.recordSend(
      computeChain(this.stream, this.#services),
      choice.endpoint.name,
    );
    loads.recordOutput(output.tokens.length);
    const total = usage.compute(output.tokens.length);
    metrics.count("streams_finished_total", { reason });
    metrics.count("tokens_computed_total", {}, total.computedTokens);
    metrics.count("tokens_recomputed_total", {}, total.recomputedTokens);
    metrics.count("tokens_cached_total", {}, total.cachedTokens);
    output.close({ kind: "end", reason, usage: total });
  }

  #closeFailed(kind: RefusalKind, message: string): void {
    const { output } = this.stream;
    if (output.final !== undefined) return;
    this.#services.metrics.count("streams_failed_total", { reason: kind });
    const ran = output.tokens.length > 0;
    const mayHaveRun = this.#mayHaveRun || this.#attempt?.isSettled === false ||
      kind === "deadline";
    const refusal = Refusal.create({
      kind,
      run: ran ? "ran" : mayHaveRun ? "unknown" : "not_run",
      retryAfterMs: kind === "endpoint_failed" ? 1_000 : undefined,
      message: `${message}; send the request again if the answer is needed`,
    });
    output.close({ kind: "failed", refusal });
  }
}
