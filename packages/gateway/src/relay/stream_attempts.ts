/**
 * Keeps what is known of a stream's sends, and whether it may be sent again.
 *
 * A stream that may have run goes to another replica only if its route lets it
 * be resumed. A move of a run is no send: it stays the same run.
 */

import type { Route } from "@almondcrank/model/configuration.ts";
import type { RetryReason } from "../limits/retry_budget.ts";

/** Connections that fail at once do not count as sends, up to this many. */
const maxUnsent = 4;

/** Sends of one stream. */
export class StreamAttempts {
  readonly #route: Route;
  #sends = 0;
  #unsent = 0;
  #mayHaveRun = false;

  private constructor(route: Route) {
    this.#route = route;
  }

  static create(route: Route): StreamAttempts {
    return new StreamAttempts(route);
  }

  get sends(): number {
    return this.#sends;
  }

  /** Whether some replica may have begun to run the stream. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  /** Whether another replica may go on after the last event. */
  get canResume(): boolean {
    return this.#route.isResumable && this.#sends < this.#route.maxAttempts;
  }

  recordSend(): void {
    this.#sends += 1;
  }

  /** Takes back a send of which nothing reached its replica. */
  recordConnectFailure(): void {
    this.#sends -= 1;
    this.#unsent += 1;
  }

  recordRun(): void {
    this.#mayHaveRun = true;
  }

  /** Whether the stream may be sent again, budget aside. */
  isRetryable(reason: RetryReason): boolean {
    if (this.#mayHaveRun && !this.canResume) return false;
    return reason === "not_sent"
      ? this.#unsent < maxUnsent
      : this.#sends < this.#route.maxAttempts;
  }
}
