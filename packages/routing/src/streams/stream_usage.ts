/**
 * Tokens spent on one stream over its attempts.
 */

import type { EngineUsage } from "@almondcrank/endpoint/engine.ts";
import type { StreamUsage } from "../routers/model_router.ts";

/** Token counts known when an attempt was sent. */
export interface AttemptInput {
  /** Output tokens from earlier attempts. */
  readonly tokensBefore: number;
  /** Input tokens that earlier requests of any caller already computed. */
  readonly seenTokens: number;
  /** Whether an earlier attempt had computed the stream's input. */
  readonly wasComputed: boolean;
}

/** Counts of a stream that another node began. */
export interface UsageProgress {
  readonly attempts: number;
  /** Of these, attempts that were moved or did not run. */
  readonly uncountedAttempts: number;
  readonly recomputedTokens: number;
}

/** Sums the token usage of a stream's attempts. */
export class UsageCounter {
  readonly #promptTokens: number;
  #attempts: number;
  /** Attempts that ended without a sign that the request fails its replicas. */
  #uncounted: number;
  #recomputedTokens: number;
  #cachedTokens = 0;
  #computedTokens = 0;
  #hasComputedInput: boolean;

  private constructor(promptTokens: number, progress: UsageProgress) {
    this.#promptTokens = promptTokens;
    this.#attempts = progress.attempts;
    this.#uncounted = progress.uncountedAttempts;
    this.#recomputedTokens = progress.recomputedTokens;
    this.#hasComputedInput = progress.attempts > 0;
  }

  /** @param progress Counts so far of a stream taken over from a peer. */
  static create(promptTokens: number, progress: UsageProgress): UsageCounter {
    return new UsageCounter(promptTokens, progress);
  }

  get attempts(): number {
    return this.#attempts;
  }

  /** Attempts that ended without a sign that the request fails its replicas. */
  get uncountedAttempts(): number {
    return this.#uncounted;
  }

  /** Attempts that may have failed because of the request. */
  get countedAttempts(): number {
    return this.#attempts - this.#uncounted;
  }

  get recomputedTokens(): number {
    return this.#recomputedTokens;
  }

  /** Records that an attempt was moved or did not run. */
  recordUncounted(): void {
    this.#uncounted++;
  }

  /**
   * Records that an attempt was sent; returns whether an earlier one had computed
   * the stream's input.
   */
  recordSend(): boolean {
    this.#attempts++;
    return this.#hasComputedInput;
  }

  /** Records the first token of an attempt, which proves its input computed. */
  recordFirstToken(): void {
    this.#hasComputedInput = true;
  }

  /** Records the usage an engine reported at the end of an attempt. */
  recordUsage(usage: EngineUsage, input: AttemptInput): void {
    this.#cachedTokens += usage.cachedTokens;
    this.#computedTokens += usage.computedTokens;
    const computedBefore = input.wasComputed
      ? this.#promptTokens + input.tokensBefore
      : input.seenTokens;
    this.#recomputedTokens += Math.min(
      usage.computedTokens,
      Math.max(0, computedBefore - usage.cachedTokens),
    );
  }

  /** Computes the usage of the whole stream. */
  compute(outputTokens: number): StreamUsage {
    return {
      promptTokens: this.#promptTokens,
      outputTokens,
      cachedTokens: this.#cachedTokens,
      computedTokens: this.#computedTokens,
      recomputedTokens: this.#recomputedTokens,
      attempts: this.#attempts,
    };
  }
}
