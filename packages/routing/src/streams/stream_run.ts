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
import { computeBlockHashes } from "@almondcrank/endpoint/tokens.ts";
import type { ModelStream } from "../routers/model_router.ts";
import type { RefusalKind } from "../admission/refusal.ts";
import { Refusal } from "../admission/refusal.ts";
import type { ReplicaChoice } from "../choice/replica_chooser.ts";
import { AttemptEvidence, settledTokens } from "./attempt_evidence.ts";
import { type AttemptOutcome, StreamAttempt } from "./stream_attempt.ts";
import { takeRetry } from "./retry_rules.ts";
import { createPause, type Pause } from "./run_pause.ts";
import { StreamMigration } from "./stream_migration.ts";
import type { StreamRunServices } from "./stream_run_services.ts";
import { computeContext, type RoutedStream } from "./routed_stream.ts";

/** Timeout of the first token, as a multiple of its predicted time. */
const firstTokenTimeoutFactor = 4;
/** Timeout between tokens, as a multiple of the service's target. */
const tokenGapTimeoutFactor = 20;

/** Runs the attempts of one stream. */
export class StreamRun {
  readonly stream: RoutedStream;
  readonly #services: StreamRunServices;
  readonly #ended = new AbortController();
  readonly #failedEndpoints = new Set<string>();
  readonly #brokenOn = new Set<string>();
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

  /** Name of the endpoint of the latest attempt. */
  get endpoint(): string | undefined {
    return this.#choice?.endpoint.name;
  }

  /** Runs the stream to its end, with its first attempt on `choice` if given. */
  async run(choice: ReplicaChoice | undefined): Promise<void> {
    let next = choice ?? await this.#waitForChoice();
    while (next !== undefined && !this.#isEnded()) {
      if (this.#pause !== undefined) {
        await this.#pause.ended;
        next = this.#isEnded() ? undefined : await this.#waitForChoice();
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
      choose: () => this.#choose(choice.endpoint.name),
      signal: this.#ended.signal,
    });
    void this.#migration.run(remainingMs);
  }

  #isEnded(): boolean {
    return this.stream.output.final !== undefined || this.#ended.signal.aborted;
  }

  async #runAttempt(choice: ReplicaChoice): Promise<AttemptOutcome> {
    const { loads, prefixes, clock, limits } = this.#services;
    const { stream } = this;
    const { endpoint } = choice;
    const chain = this.#computeChain();
    this.#services.retries.recordSend(endpoint.name);
    const uncached = stream.inputTokens - choice.cachedTokens;
    loads.recordSend(endpoint.name, Math.max(0, uncached));
    prefixes.recordSend(chain, endpoint.name);
    stream.usage.recordSend();
    const tokensBefore = stream.output.tokens.length;
    const evidence = AttemptEvidence.create({
      ...this.#services,
      parts: stream.parts,
      endpoint: endpoint.name,
      brokenOn: this.#brokenOn,
    });
    const attempt = this.#startAttempt(choice, evidence);
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
    const outcome = await attempt.outcome;
    loads.recordEnd(endpoint.name);
    evidence.recordOutcome(outcome);
    if (outcome.kind === "ended") {
      const { seenTokens } = choice;
      stream.usage.recordUsage(outcome.usage, { tokensBefore, seenTokens });
    }
    return outcome;
  }

  #startAttempt(
    choice: ReplicaChoice,
    evidence: AttemptEvidence,
  ): StreamAttempt {
    const { engines, loads, clock, metrics } = this.#services;
    const { request, id, output, usage } = this.stream;
    const importId = this.#importId;
    this.#importId = undefined;
    const name = choice.endpoint.name;
    return StreamAttempt.start({
      engine: engines(choice.endpoint),
      output,
      clock,
      observer: {
        recordFirstToken: (waitMs) => {
          usage.recordFirstToken();
          evidence.recordFirstToken();
          loads.recordFirstToken(name, waitMs - choice.firstTokenMs);
          metrics.recordDuration("engine_first_token_seconds", waitMs);
        },
        recordTokenGap: (gapMs) => {
          evidence.recordSurvival();
          loads.recordTokenGap(name, gapMs);
        },
      },
      request: {
        id: `${id}.${usage.attempts}`,
        model: request.service.model,
        ...(request.adapter === undefined ? {} : { adapter: request.adapter }),
        prompt: request.prompt,
        tokensSoFar: [...output.tokens],
        maxTokens: request.maxTokens,
        priority: request.team.priority,
        remainingMs: Math.max(0, request.deadline - clock.now()),
        ...(importId === undefined ? {} : { importId }),
      },
    });
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

  #handleMove(
    to: ReplicaChoice,
    importId: string | undefined,
  ): ReplicaChoice | undefined {
    if (!this.#checkRepeat()) return undefined;
    this.#importId = importId;
    if (importId === undefined) return to;
    return { ...to, cachedTokens: this.stream.inputTokens };
  }

  async #handleFailure(
    choice: ReplicaChoice,
    error: EndpointError,
  ): Promise<ReplicaChoice | undefined> {
    const { loads, metrics, limits, retries } = this.#services;
    const { output, request, usage } = this.stream;
    loads.recordFailure(error);
    this.#failedEndpoints.add(choice.endpoint.name);
    if (error.run !== "not_run") this.#mayHaveRun = true;
    // The replica failed after its last token but before the end event.
    if (output.tokens.length >= request.maxTokens) {
      this.#closeComplete("length", choice);
      return undefined;
    }
    if (usage.attempts >= limits.maxAttempts || !takeRetry(retries, error)) {
      metrics.count("retries_refused_total", { reason: error.kind });
      this.#closeFailed("endpoint_failed", error.message);
      return undefined;
    }
    if (!this.#checkRepeat()) return undefined;
    const kind = output.tokens.length > 0
      ? "stream_resumes_total"
      : "stream_retries_total";
    metrics.count(kind, { reason: error.kind });
    return await this.#waitForChoice();
  }

  /** Ends a stream that must not be sent again, as it may crash the replica. */
  #checkRepeat(): boolean {
    const { quarantine, clock, metrics } = this.#services;
    const { output, parts, usage } = this.stream;
    if (output.tokens.length >= settledTokens) return true;
    if (quarantine.mayRepeat(parts, this.#brokenOn, clock.now())) return true;
    metrics.count("retries_refused_total", { reason: "quarantined" });
    // An attempt that was moved, or one of an earlier owner, may have begun.
    if (usage.attempts > 0) this.#mayHaveRun = true;
    this.#closeFailed("endpoint_failed", "replicas crash on the prompt");
    return false;
  }

  /** Chooses the next replica, with backoff while none can take work. */
  async #waitForChoice(): Promise<ReplicaChoice | undefined> {
    const { clock, limits, metrics } = this.#services;
    const { request } = this.stream;
    let backoffMs = limits.initialBackoffMs;
    for (let backoff = 0; backoff <= limits.maxBackoffs; backoff++) {
      if (!this.#checkRepeat()) return undefined;
      const choice = this.#choose(undefined);
      if (choice !== undefined) return choice;
      if (clock.now() + backoffMs >= request.deadline) break;
      metrics.count("stream_pauses_total", { reason: "no_endpoint" });
      await clock.sleep(backoffMs, this.#ended.signal);
      if (this.#isEnded()) return undefined;
      backoffMs *= 2;
    }
    return undefined;
  }

  #choose(leaving: string | undefined): ReplicaChoice | undefined {
    const { chooser } = this.#services;
    const { request, output } = this.stream;
    const excluded = new Set(this.#failedEndpoints);
    if (leaving !== undefined) excluded.add(leaving);
    const query = {
      service: request.service.name,
      chain: this.#computeChain(),
      conversationPrefix: this.stream.conversationPrefix,
      inputTokens: this.stream.inputTokens,
      outputTokens: request.maxTokens - output.tokens.length,
      betweenTokensMs: request.service.target.betweenTokensMs,
    };
    const choice = chooser.choose({ ...query, excluded });
    if (choice !== undefined || this.#failedEndpoints.size === 0) return choice;
    // No other replica can take work, so one that failed may be tried again.
    const excludedNow = new Set(leaving === undefined ? [] : [leaving]);
    return chooser.choose({ ...query, excluded: excludedNow });
  }

  #computeChain(): readonly number[] {
    const { promptTokens, chain, output, request } = this.stream;
    if (output.tokens.length === 0) return chain;
    const context = computeContext(request.prompt, promptTokens, output.tokens);
    return computeBlockHashes(this.#services.hasher, context);
  }

  #closeComplete(reason: "stop" | "length", choice: ReplicaChoice): void {
    const { loads, prefixes, metrics } = this.#services;
    const { output, usage } = this.stream;
    prefixes.recordSend(this.#computeChain(), choice.endpoint.name);
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
