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

/** Dependencies of `StreamEnding`. */
export interface StreamEndingOptions {
  readonly stream: RoutedStream;
  readonly services: StreamRunServices;
  /** Whether an endpoint may have begun with the request. */
  readonly mayHaveRun: () => boolean;
}

/** Ends one stream. */
export class StreamEnding {
  readonly #stream: RoutedStream;
  readonly #services: StreamRunServices;
  readonly #mayHaveRun: () => boolean;

  private constructor(options: StreamEndingOptions) {
    this.#stream = options.stream;
    this.#services = options.services;
    this.#mayHaveRun = options.mayHaveRun;
  }

  static create(options: StreamEndingOptions): StreamEnding {
    return new StreamEnding(options);
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
  failUnfinished(reason = "no endpoint could finish the request"): void {
    if (this.#stream.isHandedOver) return;
    if (this.#services.clock.now() < this.#stream.request.deadline) {
      return this.fail("endpoint_failed", reason);
    }
    this.fail("deadline", "the deadline passed before the answer ended");
  }

  /** Ends the stream as failed, unless it has ended. */
  fail(kind: RefusalKind, message: string): void {
    const { output } = this.#stream;
    if (output.final !== undefined) return;
    this.#services.metrics.count("streams_failed_total", { reason: kind });
    const ran = output.tokens.length > 0;
    const mayHaveRun = kind === "deadline" || this.#mayHaveRun();
    const refusal = Refusal.create({
      kind,
      run: ran ? "ran" : mayHaveRun ? "unknown" : "not_run",
      retryAfterMs: kind === "endpoint_failed" ? retryAfterMs : undefined,
      message: `${message}; send the request again if the answer is needed`,
    });
    output.close({ kind: "failed", refusal });
  }
}
