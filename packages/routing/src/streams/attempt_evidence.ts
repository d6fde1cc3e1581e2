/**
 * What one attempt tells of the parts of its prompt.
 *
 * A replica that a part crashes ends when it begins to write an answer on it. So a
 * connection that is lost before the answer has gone on for some tokens speaks
 * against the parts, and an answer that goes on or ends speaks for them.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import { formatCrashedIncarnation } from "../quarantine/endpoint_incarnation.ts";
import type { PartQuarantine } from "../quarantine/part_quarantine.ts";
import type { GenerateEvent } from "@almondcrank/endpoint/engine.ts";
import type { EndpointError } from "@almondcrank/endpoint/endpoint_error.ts";

/** Output tokens of an answer from which it shows that its prompt is sound. */
export const settledTokens = 16;

/** Options of the evidence of an attempt. */
export interface AttemptEvidenceOptions {
  readonly quarantine: PartQuarantine;
  readonly parts: readonly string[];
  /** Name of the endpoint. */
  readonly endpoint: string;
  readonly clock: Clock;
  /** Incarnations on which the stream broke; one more is added at a crash. */
  readonly brokenOn: Set<string>;
}

/** Records the evidence of one attempt. */
export class AttemptEvidence {
  readonly #options: AttemptEvidenceOptions;
  #beganAt: number | undefined;
  #tokens = 0;
  #hasSurvived = false;

  private constructor(options: AttemptEvidenceOptions) {
    this.#options = options;
  }

  static create(options: AttemptEvidenceOptions): AttemptEvidence {
    return new AttemptEvidence(options);
  }

  /**
   * Records an item as its engine sends it, even if the attempt is paused and the
   * stream never takes the item.
   */
  recordItem(item: GenerateEvent | EndpointError): void {
    switch (item.kind) {
      case "token":
        return this.#recordToken();
      case "end":
        if (item.reason !== "cancelled") this.#recordSurvival();
        return;
      case "connection_lost":
        return this.#recordLoss();
      case "unreachable":
      case "timeout":
      case "bad_answer":
      case "declined":
      case "withheld":
      case "stale_fencing":
        return;
    }
  }

  #recordToken(): void {
    this.#beganAt ??= this.#options.clock.now();
    if (++this.#tokens > settledTokens) this.#recordSurvival();
  }

  /** Records that the answer has gone on for some tokens, or has ended. */
  #recordSurvival(): void {
    if (this.#hasSurvived || this.#beganAt === undefined) return;
    this.#hasSurvived = true;
    const { quarantine, parts, clock } = this.#options;
    quarantine.recordSurvival(parts, this.#beganAt, clock.now());
  }

  #recordLoss(): void {
    if (this.#hasSurvived) return;
    const { quarantine, parts, endpoint, clock, brokenOn } = this.#options;
    const incarnation = formatCrashedIncarnation(endpoint, clock);
    brokenOn.add(incarnation);
    quarantine.recordCrash(parts, incarnation, clock.now());
  }
}
