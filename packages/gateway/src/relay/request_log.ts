/**
 * Rate-limited log of requests, one line for each decision on a request.
 *
 * Requests over the rate limit are only counted, and the next logged request
 * carries the count, so a flood of requests cannot use up the node's processor
 * time for logs. Failed requests have a higher limit.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Log, LogFields } from "@almondcrank/common/logs.ts";
import type { LocalReply } from "./local_reply.ts";
import type { RelayResult } from "./relay_services.ts";
import type { RoutedRequest } from "./routed_request.ts";

const requestsPerSecond = 10;
const failuresPerSecond = 40;

/** Request log of one node. */
export class RequestLog {
  readonly #clock: Clock;
  readonly #log: Log;
  #second = 0;
  #written = 0;
  #omitted = 0;

  private constructor(clock: Clock, log: Log) {
    this.#clock = clock;
    this.#log = log.createChild("relay");
  }

  static create(clock: Clock, log: Log): RequestLog {
    return new RequestLog(clock, log);
  }

  /** Logs the trace of a request and how it ended. */
  recordEnd(request: RoutedRequest, result: RelayResult): void {
    const isFailure = result.reason !== "answered";
    if (!this.#takeQuota(isFailure)) return;
    const { id, trace } = request;
    for (const { afterMs, message, fields } of trace.entries) {
      this.#log.info(message, { request: id, afterMs, ...fields });
    }
    const fields = {
      request: id,
      route: request.route.name,
      tenant: request.tenant?.name,
      status: result.status,
      reason: result.reason,
      sends: result.sends,
      ms: Math.round(this.#clock.now() - request.receivedAt),
      omitted: this.#takeOmitted(),
    };
    if (isFailure) this.#log.warn("request ended without an answer.", fields);
    else this.#log.info("request answered.", fields);
  }

  /**
   * Logs a request that was refused at admission.
   *
   * @param inputs Log fields that explain the refusal.
   */
  recordRefusal(
    id: string | undefined,
    { status, reason, retryAfterMs }: LocalReply,
    inputs: LogFields,
  ): void {
    if (!this.#takeQuota(true)) return;
    this.#log.warn("request refused.", {
      request: id,
      status,
      reason,
      retryAfterMs: retryAfterMs === undefined
        ? undefined
        : Math.round(retryAfterMs),
      ...inputs,
      omitted: this.#takeOmitted(),
    });
  }

  #takeQuota(isFailure: boolean): boolean {
    const second = Math.floor(this.#clock.now() / 1_000);
    if (second !== this.#second) {
      this.#second = second;
      this.#written = 0;
    }
    const limit = isFailure ? failuresPerSecond : requestsPerSecond;
    if (this.#written >= limit) {
      this.#omitted += 1;
      return false;
    }
    this.#written += 1;
    return true;
  }

  #takeOmitted(): number | undefined {
    const omitted = this.#omitted;
    this.#omitted = 0;
    return omitted === 0 ? undefined : omitted;
  }
}
