/**
 * Retry budgets of endpoints on the product's own interface.
 *
 * Each process keeps a budget for each endpoint by itself: an endpoint that slows
 * down or fails is sent little more than its traffic, whatever other nodes do. So
 * the whole budget may be used, as no reports of others are late.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { RetryLimiter } from "../limits/request_limits.ts";
import { RetryBudget } from "./retry_budget.ts";

/** Retries and hedged sends as a share of first sends. */
const defaultFraction = 0.1;
/** Retries beyond that share in one window. */
const extraRetries = 2;
const windowMs = 10_000;

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

/** Options of the budgets. */
export interface EndpointRetriesOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Retries as a share of first sends; 0.1 by default. */
  readonly fraction?: number;
}

/** Retry budgets of one process, by endpoint. */
export class EndpointRetries implements RetryLimiter {
  readonly #options: EndpointRetriesOptions;
  readonly #budget: RetryBudget;

  private constructor(options: EndpointRetriesOptions) {
    this.#options = options;
    this.#budget = RetryBudget.create({
      ratio: options.fraction ?? defaultFraction,
      extra: extraRetries,
      windowMs,
      usedShare: 1,
    });
  }

  static create(options: EndpointRetriesOptions): EndpointRetries {
    return new EndpointRetries(options);
  }

  /** Records the first send of a request, which adds to the budget. */
  recordSend(endpoint: string): void {
    const { clock, metrics } = this.#options;
    this.#budget.recordRequest(endpoint, clock.now());
    metrics.count("sends_total", { kind: "first" });
  }

  /** Takes a further send to `endpoint` out of its budget; false if it is spent. */
  takeRetry(endpoint: string, reason: RetryReason = "resume"): boolean {
    const { clock, metrics } = this.#options;
    if (!this.#budget.take(endpoint, clock.now())) {
      metrics.count("retries_denied_total", { reason });
      return false;
    }
    metrics.count("sends_total", { kind: "further" });
    metrics.count("retries_total", { reason });
    return true;
  }
}
