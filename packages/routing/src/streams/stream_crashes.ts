/**
 * What the attempts of one stream tell of the parts of its prompt, and whether the
 * stream may be sent again in spite of it.
 */

import { AttemptEvidence, settledTokens } from "./attempt_evidence.ts";
import type { RoutedStream } from "./routed_stream.ts";
import type { StreamRunServices } from "./stream_run_services.ts";

/** Crashes of one stream. */
export class StreamCrashes {
  readonly #stream: RoutedStream;
  readonly #services: StreamRunServices;
  /** Incarnations on which the stream broke. */
  readonly #brokenOn = new Set<string>();

  private constructor(stream: RoutedStream, services: StreamRunServices) {
    this.#stream = stream;
    this.#services = services;
  }

  static create(
    stream: RoutedStream,
    services: StreamRunServices,
  ): StreamCrashes {
    return new StreamCrashes(stream, services);
  }

  /** Creates the evidence of an attempt at `endpoint`. */
  createEvidence(endpoint: string): AttemptEvidence {
    return AttemptEvidence.create({
      ...this.#services,
      parts: this.#stream.parts,
      endpoint,
      brokenOn: this.#brokenOn,
    });
  }

  /** Whether the stream may be sent again, as it hardly crashes the replica. */
  mayRepeat(): boolean {
    if (this.#isSettled()) return true;
    const { quarantine, clock } = this.#services;
    return quarantine.mayRepeat(
      this.#stream.parts,
      this.#brokenOn,
      clock.now(),
    );
  }

  /**
   * Waits with `wait`, whose signal aborts with `signal`, and once a part of the
   * stream enters the quarantine.
   */
  async waitUnlessQuarantined<T>(
    signal: AbortSignal,
    wait: (signal: AbortSignal) => Promise<T>,
  ): Promise<T> {
    const { parts } = this.#stream;
    const found = new AbortController();
    const subscription = this.#services.quarantine.onChanged((change) => {
      if (change.kind !== "entered" || this.#isSettled()) return;
      if (parts.includes(change.part)) found.abort("quarantined");
    });
    try {
      return await wait(AbortSignal.any([signal, found.signal]));
    } finally {
      subscription.dispose();
    }
  }

  /** Whether the answer shows that its prompt is sound. */
  #isSettled(): boolean {
    return this.#stream.output.tokens.length >= settledTokens;
  }
}
