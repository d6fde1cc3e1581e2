/**
 * Bounds retries and hedges to a fraction of the live traffic of each endpoint.
 *
 * Each first send to an endpoint earns a fraction of a token, each further send
 * of a request spends one. Tokens are capped, so a quiet endpoint does not save
 * up a burst, and an endpoint that slows down or fails is not sent more than
 * `1 + fraction` times its traffic.
 */

import type { Metrics } from "@almondcrank/common/metrics.ts";

const defaultFraction = 0.1;
const initialTokens = 2;
const maxTokens = 10;
const maxEndpoints = 16_384;

/** Why a request is sent once more. */
export type RetryReason =
  | "unreachable"
  | "declined"
  | "connection_lost"
  | "timeout"
  | "bad_answer"
  | "hedge"
  /** A stream goes on at another endpoint. */
  | "resume";

/** Options of a budget. */
export interface RetryBudgetOptions {
  readonly metrics: Metrics;
  /** Further sends per first send; 0.1 by default. */
  readonly fraction?: number;
}

/** Tokens of one process, by endpoint. */
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

  /** Records the first send of a request, which earns budget for its endpoint. */
  recordSend(endpoint: string): void {
    const earned = this.#read(endpoint) + this.#fraction;
    this.#set(endpoint, Math.min(maxTokens, earned));
    this.#metrics.count("sends_total", { kind: "first" });
  }

  /** Takes budget for a further send to `endpoint`; false when there is none. */
  takeRetry(endpoint: string, reason: RetryReason = "resume"): boolean {
    const tokens = this.#read(endpoint);
    if (tokens < 1) {
      this.#metrics.count("retries_denied_total", { reason });
      return false;
    }
    this.#set(endpoint, tokens - 1);
    this.#metrics.count("sends_total", { kind: "further" });
    this.#metrics.count("retries_total", { reason });
    return true;
  }

  #read(endpoint: string): number {
    return this.#tokens.get(endpoint) ?? initialTokens;
  }

  /** Forgets the endpoint written longest ago once the map is full. */
  #set(endpoint: string, tokens: number): void {
    this.#tokens.delete(endpoint);
    this.#tokens.set(endpoint, tokens);
    if (this.#tokens.size <= maxEndpoints) return;
    for (const oldest of this.#tokens.keys()) {
      this.#tokens.delete(oldest);
      return;
    }
  }
}
