/**
 * Runs one accepted request to its end.
 *
 * A run sends the request to a replica. When an attempt fails, it resumes on
 * another replica with the tokens so far, until the answer is complete or no
 * attempt is left. A replica that cannot be reached or lost the connection gets
 * no new work, so resuming its streams takes no retry budget. Leaving a replica
 * that is only slow, or that declined, takes budget; otherwise a brown-out would
 * multiply the load.
 *
 * A replica that falls silent may still go on. So it keeps its attempt while a
 * replacement is sent to another replica; the first of the two that goes on is
 * kept, and the other one ends.
 */

import { EndpointError } from "@almondcrank/endpoint/endpoint_error.ts";
import type { ModelStream } from "../routers/model_router.ts";
import type { RefusalKind } from "../admission/refusal.ts";
import type { ReplicaChoice } from "../choice/replica_chooser.ts";
import { AttemptSender, type SentAttempt } from "./attempt_sender.ts";
import { ReplicaSearch } from "./replica_search.ts";
import { computeSilenceTimeoutMs } from "./silence_timeout.ts";
import type { AttemptOutcome, StreamAttempt } from "./stream_attempt.ts";
import { StreamEnding } from "./stream_ending.ts";
import { StreamMigration } from "./stream_migration.ts";
import { StreamRetries } from "./stream_retries.ts";
import { createPause, type StreamPause } from "./stream_pause.ts";
import type { StreamRunServices } from "./stream_run_services.ts";
import type { RoutedStream } from "./routed_stream.ts";

/** The last of several attempts, and how it ended. */
interface EndedAttempt {
  readonly sent: SentAttempt;
  readonly outcome: AttemptOutcome;
}

/** Why a silent attempt was not replaced. */
type ReplaceRefusal = "attempts" | "no_endpoint" | "timeout";

/** Runs the attempts of one stream. */
export class StreamRun {
  readonly stream: RoutedStream;
  readonly #services: StreamRunServices;
  readonly #ended = new AbortController();
  readonly #sender: AttemptSender;
  readonly #search: ReplicaSearch;
  readonly #retries: StreamRetries;
  readonly #ending: StreamEnding;
  #current: SentAttempt | undefined;
  /** Second attempt of the stream while the current one is silent. */
  #replacement: SentAttempt | undefined;
  #mayHaveRun = false;
  #migration: StreamMigration | undefined;
  #pause: StreamPause | undefined;

  private constructor(stream: RoutedStream, services: StreamRunServices) {
    this.stream = stream;
    this.#services = services;
    this.#sender = AttemptSender.create(stream, services);
    this.#search = ReplicaSearch.create(stream, services);
    this.#retries = StreamRetries.create(stream, services);
    this.#ending = StreamEnding.create(stream, services);
  }

  static create(stream: RoutedStream, services: StreamRunServices): StreamRun {
    return new StreamRun(stream, services);
  }

  /** Name of the endpoint of the latest attempt. */
  get endpoint(): string | undefined {
    return this.#current?.choice.endpoint.name;
  }

  /** Whether an attempt is running. */
  get isGenerating(): boolean {
    return this.#current?.attempt.isSettled === false;
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
      const { sent, outcome } = await this.#runAttempts(next);
      await this.#waitResumed();
      if (this.#isEnded()) break;
      next = await this.#handleOutcome(sent.choice, outcome);
    }
    this.#closeUnfinished();
    this.#ended.abort("ended");
  }

  /** Cancels the running attempts and ends the stream as failed. */
  cancel(): void {
    this.#stopAttempts();
    this.#closeFailed("stream_lost", "the request was cancelled");
  }

  /**
   * Adds nothing to the stream and sends no attempt until `resume` or `release`. The
   * running attempt is kept, since no peer may take the stream.
   */
  pause(): void {
    this.#pause ??= createPause();
    this.stream.output.pause();
  }

  /** Continues after a pause. */
  resume(): void {
    this.#pause?.end();
    this.#pause = undefined;
    this.stream.output.resume();
  }

  /** Ends this run without ending the stream, which `successor` continues. */
  release(successor: ModelStream): void {
    this.stream.setSuccessor(successor);
    this.#stopAttempts();
    this.resume();
    this.#ended.abort("ended");
  }

  /**
   * Migrates the stream from its endpoint.
   *
   * @param remainingMs Milliseconds until the endpoint's host is taken back.
   */
  migrate(remainingMs: number): void {
    if (this.#current === undefined) return;
    const { attempt, choice } = this.#current;
    if (this.#migration?.attempt === attempt) return;
    this.#migration = StreamMigration.create({
      attempt,
      from: choice.endpoint,
      stream: this.stream,
      services: this.#services,
      move: (target, importId) => this.#move(target, importId),
      choose: () => this.#search.choose([choice.endpoint.name]),
      signal: this.#ended.signal,
    });
    void this.#migration.run(remainingMs);
  }

  /** Waits while the stream is offered to a peer. */
  async #waitResumed(): Promise<void> {
    await this.#pause?.ended;
  }

  #isEnded(): boolean {
    return this.stream.output.final !== undefined || this.#ended.signal.aborted;
  }

  #hasAllTokens(): boolean {
    const { output, request } = this.stream;
    return output.tokens.length >= request.maxTokens;
  }

  #stopAttempts(): void {
    this.#current?.attempt.stop({ kind: "cancelled" });
    this.#replacement?.attempt.stop({ kind: "cancelled" });
  }

  /** Runs an attempt and those that replace it, until the last one ends. */
  async #runAttempts(choice: ReplicaChoice): Promise<EndedAttempt> {
    let sent = this.#send(choice);
    for (;;) {
      this.#current = sent;
      this.#migrateIfLeaving(sent);
      void this.#watchProgress(sent);
      const outcome = await sent.ended;
      const replacement = this.#replacement;
      this.#replacement = undefined;
      if (replacement === undefined) return { sent, outcome };
      if (outcome.kind !== "failed" && outcome.kind !== "replaced") {
        replacement.attempt.stop({ kind: "cancelled" });
        return { sent, outcome };
      }
      if (outcome.kind === "failed") this.#recordFailure(outcome.error);
      else this.#search.recordFailure(sent.choice.endpoint.name);
      sent = replacement;
    }
  }

  #send(choice: ReplicaChoice, importId?: string): SentAttempt {
    return this.#sender.send(choice, {
      importId,
      onProgress: (attempt) => this.#endOther(attempt),
    });
  }

  /** Ends the other one of two attempts before `attempt` goes on. */
  #endOther(attempt: StreamAttempt): void {
    const replacement = this.#replacement;
    if (replacement === undefined) return;
    if (replacement.attempt === attempt) {
      this.#current?.attempt.stop({ kind: "replaced" });
      return;
    }
    this.#replacement = undefined;
    replacement.attempt.stop({ kind: "replaced" });
  }

  #migrateIfLeaving({ choice }: SentAttempt): void {
    const { loads, clock } = this.#services;
    const { state } = loads.find(choice.endpoint.name) ?? {};
    if (state?.kind === "leaving") this.migrate(state.goneAt - clock.now());
  }

  /**
   * Stops an attempt at the deadline, and replaces it while its engine makes no
   * progress. When that is not possible, the timeout doubles.
   */
  async #watchProgress({ attempt }: SentAttempt): Promise<void> {
    const { clock, metrics, limits } = this.#services;
    const { service } = this.stream.request;
    let timeoutFactor = 1;
    while (!attempt.isSettled) {
      const leftMs = this.stream.request.deadline - clock.now();
      if (leftMs <= 0) return attempt.stop({ kind: "deadline" });
      await this.#removeFailedReplacement();
      const latest = this.#replacement ?? this.#current;
      if (attempt.isSettled || latest === undefined) return;
      const allowedMs = timeoutFactor *
        computeSilenceTimeoutMs(latest, { service, limits });
      const idleMs = latest.attempt.computeIdleMs();
      if (idleMs < allowedMs) {
        // Sleeps of under 1 ms may not advance a floating-point clock.
        const waitMs = Math.max(1, Math.min(leftMs, allowedMs - idleMs));
        const { ended } = latest.attempt;
        const either = ended === attempt.ended
          ? ended
          : AbortSignal.any([attempt.ended, ended]);
        await clock.sleep(waitMs, either);
        continue;
      }
      if (this.#hasAllTokens()) {
        return attempt.stop({ kind: "failed", error: attempt.createTimeout() });
      }
      const triesAgain = timeoutFactor > 1;
      const refusal = this.#replace(latest, triesAgain);
      if (refusal !== undefined) {
        metrics.count("retries_refused_total", { reason: refusal });
      }
      if (refusal !== undefined || triesAgain) timeoutFactor *= 2;
    }
  }

  async #removeFailedReplacement(): Promise<void> {
    const replacement = this.#replacement;
    if (replacement?.attempt.isSettled !== true) return;
    this.#replacement = undefined;
    this.#current?.attempt.resume();
    const outcome = await replacement.ended;
    if (outcome.kind === "failed") this.#recordFailure(outcome.error);
  }

  /**
   * Sends the stream to `target` and pauses the running attempt, which ends at the
   * first token of the target; false if the target did not take the stream.
   */
  async #move(
    target: ReplicaChoice,
    importId: string | undefined,
  ): Promise<boolean> {
    const current = this.#current;
    if (current === undefined || this.#replacement !== undefined) return false;
    if (!this.#retries.takeMove()) return false;
    const cachedTokens = importId === undefined
      ? target.cachedTokens
      : this.stream.inputTokens;
    current.attempt.pause();
    const replacement = this.#send({ ...target, cachedTokens }, importId);
    this.#replacement = replacement;
    await Promise.race([replacement.ended, current.ended]);
    await this.#removeFailedReplacement();
    if (!current.attempt.isSettled) return false;
    const { kind } = await current.ended;
    if (kind === "replaced") this.stream.usage.recordUncounted();
    return kind === "replaced";
  }

  /**
   * Sends a replacement of a silent attempt; returns why not, if it could not.
   * A silent replacement ends, the attempt that it was to replace goes on.
   *
   * @param triesAgain Whether replicas that failed the stream may be chosen.
   */
  #replace(
    { attempt, choice }: SentAttempt,
    triesAgain: boolean,
  ): ReplaceRefusal | undefined {
    const { limits, loads, metrics, retries } = this.#services;
    const { output } = this.stream;
    // One attempt is kept for a failure of the silent one.
    if (this.stream.usage.countedAttempts + 1 >= limits.maxAttempts) {
      return "attempts";
    }
    const { name } = choice.endpoint;
    const excluded = [name, this.#current?.choice.endpoint.name ?? name];
    const next = triesAgain
      ? this.#search.choose(excluded)
      : this.#search.chooseUntried(excluded);
    if (next === undefined) return "no_endpoint";
    if (!retries.takeRetry(name, "timeout")) return "timeout";
    const error = attempt.createTimeout();
    loads.recordFailure(error);
    const kind = output.tokens.length > 0
      ? "stream_resumes_total"
      : "stream_retries_total";
    metrics.count(kind, { reason: error.kind });
    this.#mayHaveRun = true;
    if (attempt === this.#replacement?.attempt) {
      attempt.stop({ kind: "replaced" });
      this.#search.recordFailure(name);
    }
    this.#replacement = this.#send(next);
    return undefined;
  }

  async #handleOutcome(
    choice: ReplicaChoice,
    outcome: AttemptOutcome,
  ): Promise<ReplicaChoice | undefined> {
    switch (outcome.kind) {
      case "ended":
        this.#ending.complete(outcome.reason, choice.endpoint.name);
        return undefined;
      case "failed":
        return await this.#handleFailure(choice, outcome.error);
      case "deadline":
        this.#closeUnfinished();
        return undefined;
      // `#runAttempts` has gone on with the replacement.
      case "replaced":
      case "cancelled":
        return undefined;
    }
  }

  async #handleFailure(
    choice: ReplicaChoice,
    error: EndpointError,
  ): Promise<ReplicaChoice | undefined> {
    const { metrics } = this.#services;
    const { output } = this.stream;
    this.#recordFailure(error);
    // The replica failed after its last token but before the end event.
    if (this.#hasAllTokens()) {
      this.#ending.complete("length", choice.endpoint.name);
      return undefined;
    }
    if (!await this.#retries.take(error, this.#ended.signal)) {
      metrics.count("retries_refused_total", { reason: error.kind });
      this.#closeUnfinished(error.message);
      return undefined;
    }
    const kind = output.tokens.length > 0
      ? "stream_resumes_total"
      : "stream_retries_total";
    metrics.count(kind, { reason: error.kind });
    return await this.#search.wait(this.#ended.signal);
  }

  #recordFailure(error: EndpointError): void {
    this.#services.loads.recordFailure(error);
    this.#search.recordFailure(error.detail.endpoint);
    this.#retries.recordFailure(error);
    if (error.run !== "not_run") this.#mayHaveRun = true;
  }

  /** @param reason Why the stream ends if its deadline has not passed. */
  #closeUnfinished(reason = "no endpoint could finish the request"): void {
    if (this.stream.isHandedOver) return;
    if (this.#services.clock.now() < this.stream.request.deadline) {
      return this.#closeFailed("endpoint_failed", reason);
    }
    const message = "the deadline passed before the answer ended";
    this.#closeFailed("deadline", message);
  }

  #closeFailed(kind: RefusalKind, message: string): void {
    const mayHaveRun = this.#mayHaveRun || kind === "deadline" ||
      this.isGenerating;
    this.#ending.fail({ kind, message, mayHaveRun });
  }
}
