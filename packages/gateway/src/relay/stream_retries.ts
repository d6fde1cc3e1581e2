/**
 * Takes the retries of one stream out of the budget that all nodes share, and
 * records those that are taken and those that may not be.
 */

import type { RelayServices } from "./relay_services.ts";
import type { RetryReason } from "./retry_reason.ts";
import type { RoutedRequest } from "./routed_request.ts";
import type { StreamAttempts } from "./stream_attempts.ts";
import type { StreamRecorder } from "./stream_recorder.ts";

/** Why a retry may not be; also the `reason` label of `retries_refused_total`. */
export type RetryRefusal =
  /** The route allows no further send. */
  | "attempts"
  /** A part of the prompt may have crashed the replica. */
  | "quarantined"
  | "budget";

/** What the retries of one stream depend on. */
export interface StreamRetriesOptions {
  readonly services: RelayServices;
  readonly request: RoutedRequest;
  readonly attempts: StreamAttempts;
  readonly recorder: StreamRecorder;
}

/** Retries of one stream. */
export class StreamRetries {
  readonly #options: StreamRetriesOptions;

  private constructor(options: StreamRetriesOptions) {
    this.#options = options;
  }

  static create(options: StreamRetriesOptions): StreamRetries {
    return new StreamRetries(options);
  }

  /**
   * Takes a retry; false if there may be none.
   *
   * @param after Id of the last event that the caller has received.
   */
  take(reason: RetryReason, after: number | undefined): boolean {
    const { metrics } = this.#options.services;
    const { trace } = this.#options.request;
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
    const { services, request, attempts, recorder } = this.#options;
    const { budget, clock } = services;
    const { name } = request.service;
    if (!attempts.isRetryable(reason)) return "attempts";
    if (!recorder.mayRepeat()) return "quarantined";
    const isTaken = reason === "not_sent" || budget.take(name, clock.now());
    return isTaken ? undefined : "budget";
  }
}
