/**
 * Tokens spent on one stream over its attempts.
 */

import type { EngineUsage } from "@almondcrank/endpoint/engine.ts";
import type { StreamUsage } from "../routers/model_router.ts";

/** What was known when an attempt was sent. */
export interface AttemptInput {
  /** Output tokens delivered by earlier attempts. */
  readonly tokensBefore: number;
  /** Input tokens that earlier requests of any caller had computed. */
  readonly seenTokens: number;
}

/** Sums the usage of attempts. */
export class UsageCounter {
  readonly #promptTokens: number;
  #attempts: number;
  #recomputedTokens: number;
  #cachedTokens = 0;
  #computedTokens = 0;
  #started = false;
  #startedBefore = false;

  private constructor(
    promptTokens: number,
    attempts: number,
    recomputedTokens: number,
  ) {
    this.#promptTokens = promptTokens;
    this.#attempts = attempts;
    this.#recomputedTokens = recomputedTokens;
  }

  /** @param past Counts of a stream taken over from a peer. */
  static create(
    promptTokens: number,
    past: { readonly attempts: number; readonly recomputedTokens: number },
  ): UsageCounter {
    const { attempts, recomputedTokens } = past;
    const counter = new UsageCounter(promptTokens, attempts, recomputedTokens);
    counter.#started = attempts > 0;
    return counter;
  }

  get attempts(): number {
    return this.#attempts;
  }

  get recomputedTokens(): number {
    return this.#recomputedTokens;
  }

  recordSend(): void {
    this.#attempts++;
    this.#startedBefore = this.#started;
  }

  /** Records that an attempt computed its input: its first token came. */
  recordFirstToken(): void {
    this.#started = true;
  }

  /** Records the usage an engine reported at the end of an attempt. */
  recordUsage(usage: EngineUsage, input: AttemptInput): void {
    this.#cachedTokens += usage.cachedTokens;
    this.#computedTokens += usage.computedTokens;
    const computedBefore = this.#startedBefore
      ? this.#promptTokens + input.tokensBefore
      : input.seenTokens;
    this.#recomputedTokens += Math.min(
      usage.computedTokens,
      Math.max(0, computedBefore - usage.cachedTokens),
    );
  }

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
