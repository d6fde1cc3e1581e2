/**
 * Takes the retries of one stream out of the budget that all nodes share, and
 * records those that are taken and those that may not be.
 */

import type { RelayServices } from "./relay_services.ts";
import type { RetryReason } from "./retry_reason.ts";
import type { RoutedRequest } from "./routed_request.ts";
import type { StreamAttempts } from "./stream_attempts.ts";

/** Why a retry may not be; also the `reason` label of `retries_refused_total`. */
export type RetryRefusal =
  /** The route allows no further send. */
  | "attempts"
  | "budget";

/** Retries of one stream. */
export class StreamRetries {
  readonly #services: RelayServices;
  readonly #request: RoutedRequest;
  readonly #attempts: StreamAttempts;

  private constructor(
    services: RelayServices,
    request: RoutedRequest,
    attempts: StreamAttempts,
  ) {
    this.#services = services;
    this.#request = request;
    this.#attempts = attempts;
  }

  static create(
    services: RelayServices,
    request: RoutedRequest,
    attempts: StreamAttempts,
  ): StreamRetries {
    return new StreamRetries(services, request, attempts);
  }

  /**
   * Takes a retry; false if there may be none.
   *
   * @param after Id of the last event that the caller has received.
   */
  take(reason: RetryReason, after: number | undefined): boolean {
    const { metrics } = this.#services;
    const { trace } = this.#request;
    const refusal = this.#findRefusal(reason);
    if (refusal !== undefined) {
      metrics.count("retries_refused_total", { reason: refusal });
      trace.record("retry refused.", { reason, refusal, after });
      return false;
    }
    metrics.count("repeats_total", { reason });
    trace.record("request retried.", { reason, after });
    return true;
  }

  /** Finds why there may be no retry; takes it out of the budget if it may be. */
  #findRefusal(reason: RetryReason): RetryRefusal | undefined {
    const { budget, clock } = this.#services;
    const { name } = this.#request.service;
    if (!this.#attempts.isRetryable(reason)) return "attempts";
    const isTaken = reason === "not_sent" || budget.take(name, clock.now());
    return isTaken ? undefined : "budget";
  }
}
