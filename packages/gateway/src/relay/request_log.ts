/**
 * One line for each request, within a rate.
 *
 * Lines beyond the rate are counted and the count is written with the next line,
 * so a flood of requests cannot spend the node's processor time on logs. A
 * request that did not get a replica's answer has precedence.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { RelayResult } from "./relay_services.ts";
import type { RoutedRequest } from "./routed_request.ts";

const linesPerSecond = 20;
const failureLinesPerSecond = 40;

/** Writes the lines of one node. */
export class RequestLog {
  readonly #clock: Clock;
  readonly #log: Log;
  #second = 0;
  #lines = 0;
  #omitted = 0;

  private constructor(clock: Clock, log: Log) {
    this.#clock = clock;
    this.#log = log.part("relay");
  }

  static create(clock: Clock, log: Log): RequestLog {
    return new RequestLog(clock, log);
  }

  /** Records how a request that was routed ended. */
  recordEnd(request: RoutedRequest, result: RelayResult): void {
    const isFailure = result.reason !== "answered";
    if (!this.#take(isFailure)) return;
    const fields = {
      request: request.id,
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

  /** Records a request that was refused before it was routed. */
  recordRefusal(
    id: string | undefined,
    { status, reason }: { readonly status: number; readonly reason: string },
  ): void {
    if (!this.#take(true)) return;
    const omitted = this.#takeOmitted();
    this.#log.warn("request refused.", {
      request: id,
      status,
      reason,
      omitted,
    });
  }

  #take(isFailure: boolean): boolean {
    const second = Math.floor(this.#clock.now() / 1_000);
    if (second !== this.#second) {
      this.#second = second;
      this.#lines = 0;
    }
    const limit = isFailure ? failureLinesPerSecond : linesPerSecond;
    if (this.#lines >= limit) {
      this.#omitted += 1;
      return false;
    }
    this.#lines += 1;
    return true;
  }

  #takeOmitted(): number | undefined {
    const omitted = this.#omitted;
    this.#omitted = 0;
    return omitted === 0 ? undefined : omitted;
  }
}
