/**
 * Ends a stream: composes its result, and tells the caller of a failure.
 */

import type { FailureReason } from "./local_reply.ts";
import type { RelayResult, RelayServices } from "./relay_services.ts";
import type { RetryReason } from "./retry_reason.ts";
import type { StreamAttempts } from "./stream_attempts.ts";
import { findShortage } from "./stream_choice.ts";
import { sendStreamFailure } from "./stream_failure.ts";
import type { StreamExchange } from "./stream_segment.ts";

/** When the caller of a failed stream is told to return. */
export interface RetryTime {
  readonly retryAfterMs?: number;
  /** Whether that time is the caller's own, so that it is not spread further. */
  readonly isAppointment?: boolean;
}

/** Dependencies of the ending of one stream. */
export interface StreamEndingOptions {
  readonly services: RelayServices;
  readonly exchange: StreamExchange;
  readonly attempts: StreamAttempts;
}

/** Ending of one stream. */
export class StreamEnding {
  readonly #options: StreamEndingOptions;

  private constructor(options: StreamEndingOptions) {
    this.#options = options;
  }

  static create(options: StreamEndingOptions): StreamEnding {
    return new StreamEnding(options);
  }

  /** Ends a stream whose caller is gone or whose time is up. */
  endEarly(): RelayResult {
    const { callerSignal } = this.#options.exchange.request;
    if (callerSignal.aborted) return this.end(0, "caller_gone");
    return this.fail("out_of_time");
  }

  /** Fails a stream for which no replica of its version is left. */
  failShort(version: string | undefined): RelayResult {
    const { services, exchange } = this.#options;
    return this.fail(findShortage(services, exchange.request, version));
  }

  /** Fails a stream, and tells its caller when to return if it has not run. */
  fail(
    reason: FailureReason,
    { retryAfterMs, isAppointment = false }: RetryTime = {},
  ): RelayResult {
    const { services, exchange, attempts } = this.#options;
    const status = sendStreamFailure(services, exchange, {
      reason,
      mayHaveRun: attempts.mayHaveRun,
      retryMs: retryAfterMs,
      isAppointment,
    });
    return this.end(status, reason);
  }

  /** Ends a stream whose segment failed, unless `takeRetry` lets it go on. */
  async endUnlessRetried(
    reason: RetryReason,
    takeRetry: () => boolean,
  ): Promise<RelayResult | undefined> {
    const { services: { reach, clock }, exchange, attempts } = this.#options;
    const isCutOff = reason === "not_sent" &&
      reach.isCut(exchange.request.service.name, clock.now());
    const handed = isCutOff ? await this.handOver() : undefined;
    if (handed !== undefined) return handed;
    if (takeRetry()) return undefined;
    return await this.handOver() ??
      this.fail(attempts.mayHaveRun ? "answer_lost" : "declined");
  }

  /** Hands a stream that has not run to a peer, if this node reaches no replica. */
  async handOver(): Promise<RelayResult | undefined> {
    const { services: { handOver }, exchange, attempts } = this.#options;
    const { request, response } = exchange;
    const isDue = !attempts.mayHaveRun && !response.headersSent &&
      handOver.mayFollow(request, attempts.connectFailures);
    return isDue ? await handOver.run(request, response) : undefined;
  }

  /** Composes the result of a stream that has ended. */
  end(status: number, reason: string): RelayResult {
    const { sends, mayHaveRun } = this.#options.attempts;
    return { status, reason, sends, mayHaveRun };
  }
}
