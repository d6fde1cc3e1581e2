/**
 * Migrates a running stream from a replica whose host will be reclaimed.
 *
 * If the rest of the answer fits the notice, the stream stays. Otherwise the
 * replica exports its KV cache while it continues to generate, and the target
 * replica imports it. Only then does the stream move, so that the caller sees
 * no pause. If the export or import fails, the stream moves without a cache and
 * the target computes its input again. If the target does not take the stream, its
 * replica goes on, and the next target is tried.
 */

import type { Endpoint } from "@almondcrank/common/configuration.ts";
import type { ReplicaChoice } from "../choice/replica_chooser.ts";
import type { RoutedStream } from "./routed_stream.ts";
import type { StreamAttempt } from "./stream_attempt.ts";
import type { StreamRunServices } from "./stream_run_services.ts";

/** Fraction of the notice in which an answer must end to stay in place. */
const finishFraction = 0.7;
/** Fraction of the remaining notice after which the stream moves uncached. */
const cacheMoveFraction = 0.6;

/** Options of a migration. */
export interface StreamMigrationOptions {
  readonly attempt: StreamAttempt;
  /** Endpoint whose host will be reclaimed. */
  readonly from: Endpoint;
  readonly stream: RoutedStream;
  readonly services: StreamRunServices;
  /** Chooses the target replica. */
  readonly choose: () => ReplicaChoice | undefined;
  /**
   * Moves the stream to `target`, with an imported cache if any; false if the
   * target did not take it.
   */
  readonly move: (
    target: ReplicaChoice,
    importId: string | undefined,
  ) => Promise<boolean>;
  /** Aborts when the stream has ended. */
  readonly signal: AbortSignal;
}

/** Migration of one attempt. */
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

  /**
   * Leaves the attempt in place or migrates it.
   *
   * @param remainingMs Milliseconds until the endpoint's host is taken back.
   */
  async run(remainingMs: number): Promise<void> {
    const { services, signal } = this.#options;
    const { clock, metrics } = services;
    const goneAt = clock.now() + remainingMs;
    if (this.#computeRemainingMs() <= remainingMs * finishFraction) {
      metrics.count("stream_migrations_total", { reason: "fits_notice" });
      return;
    }
    let backoffMs = services.limits.initialBackoffMs;
    while (!this.attempt.isSettled && !signal.aborted && clock.now() < goneAt) {
      const target = this.#options.choose();
      if (target === undefined) {
        metrics.count("stream_pauses_total", { reason: "no_migration_target" });
      } else if (await this.#move(target, goneAt)) {
        return;
      }
      await clock.sleep(backoffMs, this.attempt.ended);
      backoffMs *= 2;
    }
  }

  /** Time to generate all remaining tokens at the current pace. */
  #computeRemainingMs(): number {
    const { stream, services, from } = this.#options;
    const { clock, loads } = services;
    const gapMs = loads.find(from.name)?.computeBetweenTokensMs(clock.now()) ??
      stream.request.service.target.betweenTokensMs;
    const rest = stream.request.maxTokens - stream.output.tokens.length;
    return rest * gapMs;
  }

  async #move(target: ReplicaChoice, goneAt: number): Promise<boolean> {
    const { clock, metrics } = this.#options.services;
    const budgetMs = (goneAt - clock.now()) * cacheMoveFraction;
    const importId = this.attempt.tokens === 0
      ? undefined
      : await this.#importWithin(target, budgetMs);
    if (this.attempt.isSettled) return true;
    // The target may have begun to leave during the import.
    const usable = this.#isUsable(target);
    const to = usable ? target : this.#options.choose();
    if (to === undefined) return false;
    const usedImportId = usable ? importId : undefined;
    const reason = usedImportId === undefined ? "prefill" : "cache";
    const moved = await this.#options.move(to, usedImportId);
    if (moved) metrics.count("stream_migrations_total", { reason });
    return moved;
  }

  #isUsable(target: ReplicaChoice): boolean {
    const { loads } = this.#options.services;
    return loads.takesRequests(target.endpoint.name);
  }

  /** Moves the cache; undefined if that fails or exceeds `budgetMs`. */
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
