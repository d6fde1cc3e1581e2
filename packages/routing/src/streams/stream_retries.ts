/**
 * Decides whether a stream may be sent again after a failed attempt.
 *
 * A replica that cannot be reached or lost the connection gets no new work, so
 * leaving it is free; leaving one that declined takes retry budget. A request
 * without a token ends when the budget is spent, since its caller can send it
 * again. A begun stream waits for budget until its deadline, and only attempts that
 * may have run count against its limit, which keeps a request that fails its
 * replicas from failing many.
 */

import type { EndpointError } from "@almondcrank/endpoint/endpoint_error.ts";
import type { RoutedStream } from "./routed_stream.ts";
import { computeBackoffMs } from "./stream_limits.ts";
import type { StreamRunServices } from "./stream_run_services.ts";

/** Retries of one stream. */
export class StreamRetries {
  readonly #stream: RoutedStream;
  readonly #services: StreamRunServices;
  /** Failure after which the stream has not been sent again. */
  #lastFailure: EndpointError | undefined;

  private constructor(stream: RoutedStream, services: StreamRunServices) {
    this.#stream = stream;
    this.#services = services;
  }

  static create(
    stream: RoutedStream,
    services: StreamRunServices,
  ): StreamRetries {
    return new StreamRetries(stream, services);
  }

  recordFailure(error: EndpointError): void {
    this.#lastFailure = error;
    if (error.run === "not_run") this.#stream.usage.recordUncounted();
  }

  /**
   * Takes a move off a leaving replica, which is free unless the last replica that
   * was asked declined; false if the retry budget is spent.
   */
  takeMove(): boolean {
    const failure = this.#lastFailure;
    if (failure !== undefined && !this.#takeBudget(failure)) return false;
    this.#lastFailure = undefined;
    return true;
  }

  /** Takes a retry after a failure; false if the stream ends with it. */
  async take(error: EndpointError, signal: AbortSignal): Promise<boolean> {
    const { clock, limits, metrics } = this.#services;
    const { output, request, usage } = this.#stream;
    const hasBegun = output.tokens.length > 0;
    const attempts = hasBegun ? usage.countedAttempts : usage.attempts;
    if (attempts >= limits.maxAttempts) return false;
    for (let backoffs = 0; !this.#takeBudget(error); backoffs++) {
      const leftMs = request.deadline - clock.now();
      if (!hasBegun || leftMs <= 0) return false;
      metrics.count("stream_pauses_total", { reason: "no_retry_budget" });
      const backoffMs = computeBackoffMs(limits, { backoffs, hasBegun });
      await clock.sleep(Math.min(backoffMs, leftMs), signal);
      if (signal.aborted || output.final !== undefined) return false;
    }
    this.#lastFailure = undefined;
    return true;
  }

  /** Counts that the stream is sent again after `error`. */
  countRetry(error: EndpointError): void {
    const hasBegun = this.#stream.output.tokens.length > 0;
    const name = hasBegun ? "stream_resumes_total" : "stream_retries_total";
    this.#services.metrics.count(name, { reason: error.kind });
  }

  /** Counts that the stream is not sent again. */
  countRefusal(reason: string): void {
    this.#services.metrics.count("retries_refused_total", { reason });
  }

  #takeBudget(error: EndpointError): boolean {
    switch (error.kind) {
      case "unreachable":
      case "connection_lost":
      case "bad_answer":
      // The engine's client gives up at the deadline only.
      case "timeout":
        return true;
      case "declined":
      case "withheld":
      case "stale_fencing":
        return this.#services.retries.takeRetry(
          error.detail.endpoint,
          "declined",
        );
    }
  }
}
