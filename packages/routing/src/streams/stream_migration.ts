/**
 * Moves a running stream off a replica whose host is about to be reclaimed.
 *
 * If the rest of the answer fits the notice, the stream stays. Otherwise the
 * replica exports the cache while it goes on generating, the replica that takes
 * over imports it, and only then the attempt is moved, so that the caller sees
 * no pause. Where export or import fails, the stream is moved without a cache
 * and its input is computed again.
 */

import type { Endpoint } from "@almondcrank/common/configuration.ts";
import type { ReplicaChoice } from "../choice/replica_chooser.ts";
import type { RoutedStream } from "./routed_stream.ts";
import type { StreamAttempt } from "./stream_attempt.ts";
import type { StreamRunServices } from "./stream_run_services.ts";

/** Part of the notice in which an answer must end to be left in place. */
const finishShare = 0.7;
/** Part of the notice after which the stream moves even without a cache. */
const exportShare = 0.6;

/** Options of a migration. */
export interface StreamMigrationOptions {
  readonly attempt: StreamAttempt;
  /** Endpoint that is leaving. */
  readonly from: Endpoint;
  readonly stream: RoutedStream;
  readonly services: StreamRunServices;
  /** Chooses the replica that takes over. */
  readonly choose: () => ReplicaChoice | undefined;
  /** Aborts when the stream has ended. */
  readonly signal: AbortSignal;
}

/** One move of a stream. */
export class StreamMigration {
  readonly attempt: StreamAttempt;
  readonly #options: StreamMigrationOptions;

  private constructor(options: StreamMigrationOptions) {
    this.attempt = options.attempt;
    this.#options = options;
  }

  static create(options: StreamMigrationOptions): StreamMigration {
    return new StreamMigration(options);
  }

  /** Decides and moves; returns when the attempt has settled or was moved. */
  async run(remainingMs: number): Promise<void> {
    const { services, signal } = this.#options;
    const { clock, metrics } = services;
    const goneAt = clock.now() + remainingMs;
    if (this.#computeRestMs() <= remainingMs * finishShare) {
      metrics.count("stream_migrations_total", { reason: "fits_notice" });
      return;
    }
    let pauseMs = services.limits.initialBackoffMs;
    while (!this.attempt.settled && !signal.aborted && clock.now() < goneAt) {
      const target = this.#options.choose();
      if (target !== undefined) return await this.#move(target, goneAt);
      metrics.count("stream_pauses_total", { reason: "no_migration_target" });
      await clock.sleep(pauseMs, this.attempt.ended);
      pauseMs *= 2;
    }
  }

  /** Longest time the rest of the answer can take at the present pace. */
  #computeRestMs(): number {
    const { stream, services, from } = this.#options;
    const { clock, loads } = services;
    const gapMs = loads.find(from.name)?.computeBetweenTokensMs(clock.now()) ??
      stream.request.service.target.betweenTokensMs;
    const rest = stream.request.maxTokens - stream.log.tokens.length;
    return rest * gapMs;
  }

  async #move(target: ReplicaChoice, goneAt: number): Promise<void> {
    const { clock, metrics } = this.#options.services;
    const budgetMs = (goneAt - clock.now()) * exportShare;
    const importId = this.attempt.tokens === 0
      ? undefined
      : await this.#importWithin(target, budgetMs);
    if (this.attempt.settled) return;
    // The target may have begun to leave as well during the import.
    const usable = this.#isUsable(target);
    const to = usable ? target : this.#options.choose();
    if (to === undefined) return;
    const kept = usable ? importId : undefined;
    const reason = kept === undefined ? "prefill" : "cache";
    metrics.count("stream_migrations_total", { reason });
    this.attempt.stop({ kind: "moved", to, importId: kept });
  }

  #isUsable(target: ReplicaChoice): boolean {
    const { loads, clock } = this.#options.services;
    const load = loads.find(target.endpoint.name);
    return load?.isUsable(clock.now()) ?? false;
  }

  /** Imports the cache, or gives up after `budgetMs`. */
  async #importWithin(
    target: ReplicaChoice,
    budgetMs: number,
  ): Promise<string | undefined> {
    const done = new AbortController();
    const timeout = this.#options.services.clock.sleep(budgetMs, done.signal)
      .then(() => undefined);
    const ended = new Promise<undefined>((resolve) => {
      const { ended } = this.attempt;
      if (ended.aborted) return resolve(undefined);
      ended.addEventListener("abort", () => resolve(undefined), { once: true });
    });
    const result = await Promise.race([this.#import(target), timeout, ended]);
    done.abort();
    return result;
  }

  async #import(target: ReplicaChoice): Promise<string | undefined> {
    const { from, services } = this.#options;
    const { engines, metrics } = services;
    const exported = await this.attempt.engine.exportCache(this.attempt.id);
    if (exported.isLeft()) {
      metrics.count("cache_moves_failed_total", { reason: "export" });
      return undefined;
    }
    const importId = `${this.attempt.id}.import`;
    const { handle } = exported.unsafeCoerce();
    const imported = await engines(target.endpoint).importCache({
      importId,
      from: from.address,
      handle,
    });
    if (imported.isLeft()) {
      metrics.count("cache_moves_failed_total", { reason: "import" });
      return undefined;
    }
    return importId;
  }
}
