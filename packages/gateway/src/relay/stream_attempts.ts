/**
 * Tracks the sends of a stream and decides whether it may be retried.
 *
 * A stream that may have run is retried only if its route allows resuming. Moving
 * a run to another replica does not count as a send, since it is the same run.
 */

import type { Route } from "@almondcrank/model/configuration.ts";
import type { RetryReason } from "./retry_reason.ts";

/** Failed connection attempts allowed; they do not count as sends. */
const maxConnectFailures = 4;

/** Attempts of one stream. */
export class StreamAttempts {
  readonly #route: Route;
  #sends = 0;
  /** Sends whose outcome is not known yet. */
  #openSends = 0;
  #connectFailures = 0;
  #hasRun = false;

  private constructor(route: Route) {
    this.#route = route;
  }

  static create(route: Route): StreamAttempts {
    return new StreamAttempts(route);
  }

  get sends(): number {
    return this.#sends;
  }

  /** Whether a replica may have started to run the stream, or may still do so. */
  get mayHaveRun(): boolean {
    return this.#hasRun || this.#openSends > 0;
  }

  /** Replicas to which no connection could be established. */
  get connectFailures(): number {
    return this.#connectFailures;
  }

  /** Whether another replica may resume after the last event. */
  get canResume(): boolean {
    return this.#route.isResumable && this.#sends < this.#route.maxAttempts;
  }

  recordSend(): void {
    this.#sends += 1;
    this.#openSends += 1;
  }

  /** Replaces a recorded send by a failed connection attempt. */
  recordConnectFailure(): void {
    this.#sends -= 1;
    this.#openSends -= 1;
    this.#connectFailures += 1;
  }

  /** Records that the replica of a send did not run the stream. */
  recordDecline(): void {
    this.#openSends -= 1;
  }

  /** Records that the replica of a send may have run the stream. */
  recordRun(): void {
    this.#openSends -= 1;
    this.#hasRun = true;
  }

  /** Records that a run which was moved went on. */
  recordMovedRun(): void {
    this.#hasRun = true;
  }

  /** Whether the stream may be retried, apart from the retry budget. */
  isRetryable(reason: RetryReason): boolean {
    if (this.mayHaveRun && !this.canResume) return false;
    return reason === "not_sent"
      ? this.#connectFailures < maxConnectFailures
      : this.#sends < this.#route.maxAttempts;
  }
}
