/**
 * Limits retries and hedged sends to a fraction of each endpoint's traffic.
 *
 * The budget is a token bucket per endpoint. The first send of a request to an
 * endpoint adds a fraction of a token; every further send of a request takes one
 * token. The bucket is capped, so that an endpoint with little traffic does not
 * accumulate a burst. An endpoint that slows down or fails is sent at most
 * `1 + fraction` times its traffic.
 */

import type { Metrics } from "@almondcrank/common/metrics.ts";

const defaultFraction = 0.1;
const initialTokens = 2;
const maxTokens = 10;
/** Endpoints whose tokens are kept. */
const maxEndpoints = 16_384;

/** Why a request is sent again. */
export type RetryReason =
  | "unreachable"
  | "declined"
  | "connection_lost"
  | "timeout"
  | "bad_answer"
  | "hedge"
  /** A stream resumes on another endpoint. */
  | "resume";

/** Options of a budget. */
export interface RetryBudgetOptions {
  readonly metrics: Metrics;
  /** Tokens added per first send; 0.1 by default. */
  readonly fraction?: number;
}

/** Retry budget of one process, by endpoint. */
export class RetryBudget {
  readonly #metrics: Metrics;
  readonly #fraction: number;
  readonly #tokens = new Map<string, number>();

  private constructor(options: RetryBudgetOptions) {
    this.#metrics = options.metrics;
    this.#fraction = options.fraction ?? defaultFraction;
  }

  static create(options: RetryBudgetOptions): RetryBudget {
    return new RetryBudget(options);
  }

  /** Records the first send of a request, which adds to the budget. */
  recordSend(endpoint: string): void {
    const earned = this.#readTokens(endpoint) + this.#fraction;
    this.#setTokens(endpoint, Math.min(maxTokens, earned));
    this.#metrics.count("sends_total", { kind: "first" });
  }

  /** Takes a token for a further send to `endpoint`; false if there is none. */
  takeRetry(endpoint: string, reason: RetryReason = "resume"): boolean {
    const tokens = this.#readTokens(endpoint);
    if (tokens < 1) {
      this.#metrics.count("retries_denied_total", { reason });
      return false;
    }
    this.#setTokens(endpoint, tokens - 1);
    this.#metrics.count("sends_total", { kind: "further" });
    this.#metrics.count("retries_total", { reason });
    return true;
  }

  #readTokens(endpoint: string): number {
    return this.#tokens.get(endpoint) ?? initialTokens;
  }

  /** Sets the tokens; a full map drops its least recently written endpoint. */
  #setTokens(endpoint: string, tokens: number): void {
    this.#tokens.delete(endpoint);
    this.#tokens.set(endpoint, tokens);
    if (this.#tokens.size <= maxEndpoints) return;
    for (const oldest of this.#tokens.keys()) {
      this.#tokens.delete(oldest);
      return;
    }
  }
}
