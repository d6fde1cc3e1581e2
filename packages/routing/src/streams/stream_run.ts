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
import type { ReplicaChoice } from "../choice/replica_chooser.ts";
import {
  AttemptSender,
  type EndedAttempt,
  type SentAttempt,
} from "./attempt_sender.ts";
import { ReplicaSearch } from "./replica_search.ts";
import { computeSilenceTimeoutMs } from "./silence_timeout.ts";
import type { AttemptOutcome, StreamAttempt } from "./stream_attempt.ts";
import { StreamCrashes } from "./stream_crashes.ts";
import { StreamEnding } from "./stream_ending.ts";
import { StreamMigration } from "./stream_migration.ts";
import { StreamRetries } from "./stream_retries.ts";
import { createPause, type StreamPause } from "./stream_pause.ts";
import type { StreamRunServices } from "./stream_run_services.ts";
import type { RoutedStream } from "./routed_stream.ts";

/** Why a silent attempt was not replaced. */
type ReplaceRefusal = "attempts" | "no_endpoint" | "quarantined" | "timeout";

/** Runs the attempts of one stream. */
export class StreamRun {
  readonly stream: RoutedStream;
  readonly #services: StreamRunServices;
  readonly #ended = new AbortController();
  readonly #crashes: StreamCrashes;
  readonly #sender: AttemptSender;
  readonly #search: ReplicaSearch;
  readonly #retries: StreamRetries;
  readonly #ending: StreamEnding;
  #current: SentAttempt | undefined;
  /** Second attempt of the stream while the current one is silent. */
  #replacement: SentAttempt | undefined;
  #mayHaveRun: boolean;
  #migration: StreamMigration | undefined;
  #pause: StreamPause | undefined;

  private constructor(stream: RoutedStream, services: StreamRunServices) {
    this.stream = stream;
    this.#services = services;
    const crashes = StreamCrashes.create(stream, services);
    this.#crashes = crashes;
    this.#sender = AttemptSender.create({ stream, services, crashes });
    this.#search = ReplicaSearch.create(stream, services);
    this.#retries = StreamRetries.create(stream, services);
    this.#ending = StreamEnding.create({
      stream,
      services,
      mayHaveRun: () => this.#mayHaveRun || this.isGenerating,
    });
    // An attempt of an earlier owner may have begun.
    this.#mayHaveRun = stream.usage.attempts > 0;
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
    let next = choice ?? await this.#waitForChoice();
    while (next !== undefined && !this.#isEnded()) {
      const isPaused = this.#pause !== undefined;
      if (isPaused) {
        next = await this.#waitForChoice();
        continue;
      }
      const { sent, outcome } = await this.#runAttempts(next);
      await this.#pause?.ended;
      if (this.#isEnded()) break;
      next = await this.#handleOutcome(sent.choice, outcome);
    }
    this.#ending.failUnfinished();
    this.#ended.abort("ended");
  }

  /** Cancels the running attempts and ends the stream as failed. */
  cancel(): void {
    this.#stopAttempts();
    this.#ending.fail("stream_lost", "the request was cancelled");
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

  #isEnded(): boolean {
    return this.stream.output.final !== undefined || this.#ended.signal.aborted;
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
    const { clock, limits } = this.#services;
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
      if (this.stream.hasAllTokens) {
        return attempt.stop({ kind: "failed", error: attempt.createTimeout() });
      }
      const triesAgain = timeoutFactor > 1;
      const refusal = this.#replace(latest, triesAgain);
      if (refusal !== undefined) this.#retries.countRefusal(refusal);
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
    const isBusy = this.#replacement !== undefined || this.#pause !== undefined;
    if (current === undefined || isBusy) return false;
    if (!this.#checkRepeat() || !this.#retries.takeMove()) return false;
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
    const { limits, loads, retries } = this.#services;
    if (!this.#crashes.mayRepeat()) return "quarantined";
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
    this.#retries.countRetry(error);
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
        this.#ending.failUnfinished();
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
    this.#recordFailure(error);
    // The replica failed after its last token but before the end event.
    if (this.stream.hasAllTokens) {
      this.#ending.complete("length", choice.endpoint.name);
      return undefined;
    }
    if (!this.#checkRepeat()) return undefined;
    const isTaken = await this.#crashes.waitUnlessQuarantined(
      this.#ended.signal,
      (signal) => this.#retries.take(error, signal),
    );
    await this.#pause?.ended;
    if (!this.#checkRepeat()) return undefined;
    if (!isTaken) {
      this.#retries.countRefusal(error.kind);
      this.#ending.failUnfinished(error.message);
      return undefined;
    }
    this.#retries.countRetry(error);
    return await this.#waitForChoice();
  }

  /** Searches for the next replica, unless one may crash on the prompt. */
  async #waitForChoice(): Promise<ReplicaChoice | undefined> {
    // A peer may be taking the stream.
    await this.#pause?.ended;
    if (this.#isEnded()) return undefined;
    const choice = await this.#crashes.waitUnlessQuarantined(
      this.#ended.signal,
      (signal) => this.#search.wait(signal, () => this.#crashes.mayRepeat()),
    );
    const isPaused = this.#pause !== undefined;
    if (isPaused) return await this.#waitForChoice();
    return this.#checkRepeat() ? choice : undefined;
  }

  /** Ends a stream that must not be sent again, as it may crash the replica. */
  #checkRepeat(): boolean {
    if (this.#isEnded()) return false;
    if (this.#crashes.mayRepeat()) return true;
    this.#retries.countRefusal("quarantined");
    this.#ending.fail("endpoint_failed", "replicas crash on the prompt");
    this.#stopAttempts();
    return false;
  }

  #recordFailure(error: EndpointError): void {
    this.#services.loads.recordFailure(error);
    this.#search.recordFailure(error.detail.endpoint);
    this.#retries.recordFailure(error);
    if (error.run !== "not_run") this.#mayHaveRun = true;
  }
}
