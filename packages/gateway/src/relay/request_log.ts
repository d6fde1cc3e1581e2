/**
 * Records what becomes of requests: counters, and a rate-limited log with one line
 * for each decision on a request.
 *
 * Requests over the rate limit are only counted, and the next logged request
 * carries the count, so a flood of requests cannot use up the node's processor
 * time for logs. Failed requests have a higher limit.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Log, LogFields } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { LocalReply } from "./local_reply.ts";
import type { RelayResult } from "./relay_services.ts";
import type { RoutedRequest } from "./routed_request.ts";

const requestsPerSecond = 10;
const failuresPerSecond = 40;

/** Dependencies of a request log. */
export interface RequestLogOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Request log of one node. */
export class RequestLog {
  readonly #clock: Clock;
  readonly #log: Log;
  readonly #metrics: Metrics;
  #second = 0;
  #written = 0;
  #omitted = 0;

  private constructor({ clock, log, metrics }: RequestLogOptions) {
    this.#clock = clock;
    this.#log = log.createChild("relay");
    this.#metrics = metrics;
  }

  static create(options: RequestLogOptions): RequestLog {
    return new RequestLog(options);
  }

  /** Records that the caller of a broken stream came back, if it is one. */
  recordResume({ resumeAfter, resumedRequest, trace }: RoutedRequest): void {
    if (resumeAfter === undefined) return;
    const isNamed = resumedRequest !== undefined;
    this.#metrics.count("streams_resumed_total", {
      named: isNamed ? "yes" : "no",
    });
    trace.record("stream resumed by its caller.", {
      after: resumeAfter,
      resumes: resumedRequest,
    });
  }

  /** Counts a request, and logs its trace and how it ended. */
  recordEnd(request: RoutedRequest, result: RelayResult): void {
    const { kind } = request.route;
    const ms = this.#clock.now() - request.receivedAt;
    this.#metrics.count("requests_total", { kind, reason: result.reason });
    this.#metrics.recordDuration("request_seconds", ms, { kind });
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
      ms: Math.round(ms),
      omitted: this.#takeOmitted(),
    };
    if (isFailure) this.#log.warn("request ended without an answer.", fields);
    else this.#log.info("request answered.", fields);
  }

  /**
   * Counts and logs a request that was refused at admission.
   *
   * @param inputs Log fields that explain the refusal.
   */
  recordRefusal(
    id: string | undefined,
    { status, reason, retryAfterMs }: LocalReply,
    inputs: LogFields,
  ): void {
    this.#metrics.count("refusals_total", { reason });
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
