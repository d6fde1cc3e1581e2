/**
 * Ends a stream with its final event, and counts how it ended.
 */

import type { RefusalKind } from "../admission/refusal.ts";
import { Refusal } from "../admission/refusal.ts";
import { computeChain } from "./attempt_sender.ts";
import type { RoutedStream } from "./routed_stream.ts";
import type { StreamRunServices } from "./stream_run_services.ts";

/** Time after which a caller may send a request again that no endpoint finished. */
const retryAfterMs = 1_000;

/** Why a stream ended without a whole answer. */
export interface StreamFailure {
  readonly kind: RefusalKind;
  readonly message: string;
  /** Whether an endpoint may have begun with the request. */
  readonly mayHaveRun: boolean;
}

/** Ends one stream. */
export class StreamEnding {
  readonly #stream: RoutedStream;
  readonly #services: StreamRunServices;

  private constructor(stream: RoutedStream, services: StreamRunServices) {
    this.#stream = stream;
    this.#services = services;
  }

  static create(
    stream: RoutedStream,
    services: StreamRunServices,
  ): StreamEnding {
    return new StreamEnding(stream, services);
  }

  /** Ends the stream with its whole answer, whose last part `endpoint` gave. */
  complete(reason: "stop" | "length", endpoint: string): void {
    const { loads, prefixes, metrics } = this.#services;
    const { output, usage } = this.#stream;
    prefixes.recordSend(computeChain(this.#stream, this.#services), endpoint);
    loads.recordOutput(output.tokens.length);
    const total = usage.compute(output.tokens.length);
    metrics.count("streams_finished_total", { reason });
    metrics.count("tokens_computed_total", {}, total.computedTokens);
    metrics.count("tokens_recomputed_total", {}, total.recomputedTokens);
    metrics.count("tokens_cached_total", {}, total.cachedTokens);
    output.close({ kind: "end", reason, usage: total });
  }

  /**
   * Ends a stream that no attempt finished, unless a peer has it.
   *
   * @param reason Why it ends if its deadline has not passed.
   */
  failUnfinished(reason: string, mayHaveRun: boolean): void {
    if (this.#stream.isHandedOver) return;
    if (this.#services.clock.now() < this.#stream.request.deadline) {
      const kind = "endpoint_failed";
      return this.fail({ kind, message: reason, mayHaveRun });
    }
    const message = "the deadline passed before the answer ended";
    this.fail({ kind: "deadline", message, mayHaveRun: true });
  }

  /** Ends the stream as failed, unless it has ended. */
  fail({ kind, message, mayHaveRun }: StreamFailure): void {
    const { output } = this.#stream;
    if (output.final !== undefined) return;
    this.#services.metrics.count("streams_failed_total", { reason: kind });
    const ran = output.tokens.length > 0;
    const refusal = Refusal.create({
      kind,
      run: ran ? "ran" : mayHaveRun ? "unknown" : "not_run",
      retryAfterMs: kind === "endpoint_failed" ? retryAfterMs : undefined,
      message: `${message}; send the request again if the answer is needed`,
    });
    output.close({ kind: "failed", refusal });
  }
}
