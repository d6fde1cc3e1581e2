/**
 * The story of a request in lines, one for each decision, within a rate.
 *
 * Requests beyond the rate are counted and the count is written with the next
 * one, so a flood of requests cannot spend the node's processor time on logs. A
 * request that did not get a replica's answer has precedence.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Log, LogFields } from "@almondcrank/common/logs.ts";
import type { LocalReply } from "./local_reply.ts";
import type { RelayResult } from "./relay_services.ts";
import type { RoutedRequest } from "./routed_request.ts";

const requestsPerSecond = 10;
const failuresPerSecond = 40;

/** Writes the lines of one node. */
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

  /** Writes the decisions on a request and how it ended. */
  recordEnd(request: RoutedRequest, result: RelayResult): void {
    const isFailure = result.reason !== "answered";
    if (!this.#take(isFailure)) return;
    const { id, trace } = request;
    for (const { afterMs, sentence, fields } of trace.entries) {
      this.#log.info(sentence, { request: id, afterMs, ...fields });
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
   * Writes a refusal before the request was taken on.
   *
   * @param inputs What decided it.
   */
  recordRefusal(
    id: string | undefined,
    { status, reason, retryAfterMs }: LocalReply,
    inputs: LogFields,
  ): void {
    if (!this.#take(true)) return;
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

  #take(isFailure: boolean): boolean {
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
