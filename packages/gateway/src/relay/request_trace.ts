/**
 * Decisions on one request, in order, with what they went by.
 *
 * Kept until the request ends: only then is known whether its lines are worth
 * writing, and a request that went well costs no more than these few objects.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { LogFields } from "@almondcrank/common/logs.ts";

/** One decision. */
export interface TraceEntry {
  /** Time since the request was received. */
  readonly afterMs: number;
  readonly sentence: string;
  readonly fields: LogFields;
}

/** Most decisions kept of one request. */
const maxDecisions = 40;

/** Decisions on one request. */
export class RequestTrace {
  readonly #clock: Clock;
  readonly #receivedAt: number;
  readonly #decisions: TraceEntry[] = [];

  private constructor(clock: Clock, receivedAt: number) {
    this.#clock = clock;
    this.#receivedAt = receivedAt;
  }

  static create(clock: Clock, receivedAt: number): RequestTrace {
    return new RequestTrace(clock, receivedAt);
  }

  get entries(): readonly TraceEntry[] {
    return this.#decisions;
  }

  /** Records a decision that was made now. */
  record(sentence: string, fields: LogFields): void {
    if (this.#decisions.length >= maxDecisions) return;
    const afterMs = Math.round(this.#clock.now() - this.#receivedAt);
    this.#decisions.push({ afterMs, sentence, fields });
  }
}
