/**
 * Decisions on one request, in order, with the values behind them.
 *
 * The entries are kept until the request ends, since only then it is known
 * whether they are logged. A request that is not logged costs only these objects.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { LogFields } from "@almondcrank/common/logs.ts";

/** One decision, as it is logged. */
export interface TraceEntry {
  /** Time since the request was received. */
  readonly afterMs: number;
  readonly message: string;
  readonly fields: LogFields;
}

/** Largest number of entries per request; later ones are dropped. */
const maxEntries = 40;

/** Trace of one request. */
export class RequestTrace {
  readonly #clock: Clock;
  readonly #receivedAt: number;
  readonly #entries: TraceEntry[] = [];

  private constructor(clock: Clock, receivedAt: number) {
    this.#clock = clock;
    this.#receivedAt = receivedAt;
  }

  static create(clock: Clock, receivedAt: number): RequestTrace {
    return new RequestTrace(clock, receivedAt);
  }

  get entries(): readonly TraceEntry[] {
    return this.#entries;
  }

  /** Records a decision that was made now. */
  record(message: string, fields: LogFields): void {
    if (this.#entries.length >= maxEntries) return;
    const afterMs = Math.round(this.#clock.now() - this.#receivedAt);
    this.#entries.push({ afterMs, message, fields });
  }
}
