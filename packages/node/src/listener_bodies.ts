/**
 * Reads the bodies of all requests of one listener within the memory of the process.
 *
 * A body counts until the handler of its request has ended, as it may be sent again
 * until then. Each listener has room of its own, so that callers take none of what
 * operators need.
 */

import { getHeapStatistics } from "node:v8";
import { BodyBudget } from "@almondcrank/common/body_budget.ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import {
  type BodyError,
  defaultHttpLimits,
  type HttpExchange,
  readBody,
} from "@almondcrank/common/http_server.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import { sendBodyError } from "./error_response.ts";

/** Options of `ListenerBodies.create`. */
export interface ListenerBodiesOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly listener: "callers" | "operators";
  /** Limit of one body. */
  readonly maxBodyBytes?: number;
  /** Memory that the process may use, the limit of its heap by default. */
  readonly memoryBytes?: number;
}

/** What is done with the body of one request. */
export interface BodyHandling {
  /** Urgency of the request, 0 first. */
  readonly priority: number;
  /** Team of the caller. */
  readonly group?: string;
  readonly handle: (body: Buffer) => Promise<void>;
}

/** Bodies of the requests of one listener. */
export class ListenerBodies {
  readonly #options: ListenerBodiesOptions;
  readonly #budget: BodyBudget;

  private constructor(options: ListenerBodiesOptions) {
    this.#options = options;
    this.#budget = BodyBudget.createFor(
      options.memoryBytes ?? getHeapStatistics().heap_size_limit,
      options.clock,
    );
  }

  static create(options: ListenerBodiesOptions): ListenerBodies {
    return new ListenerBodies(options);
  }

  /** Bytes that all bodies hold at present. */
  get heldBytes(): number {
    return this.#budget.heldBytes;
  }

  /** Handles a request with its whole body; sends the error if it can't be used. */
  async run(
    exchange: HttpExchange,
    { priority, group, handle }: BodyHandling,
  ): Promise<void> {
    let release = (): void => {};
    const body = await readBody(exchange.request, {
      maxBytes: this.#options.maxBodyBytes ?? defaultHttpLimits.maxBodyBytes,
      openShare: (onDisplaced) => {
        const share = this.#budget.open({ priority, group, onDisplaced });
        release = () => share.release();
        return share;
      },
    });
    this.#recordHeld();
    try {
      await body.caseOf({
        Left: (error) => this.#refuse(exchange, error),
        Right: handle,
      });
    } finally {
      release();
      this.#recordHeld();
    }
  }

  #refuse(exchange: HttpExchange, error: BodyError): Promise<void> {
    const { listener, metrics } = this.#options;
    metrics.count("almondcrank_refusals_total", {
      path: listener,
      reason: error.kind,
    });
    sendBodyError(exchange, error);
    return Promise.resolve();
  }

  #recordHeld(): void {
    const { listener, metrics } = this.#options;
    metrics.setGauge("almondcrank_request_body_bytes", this.heldBytes, {
      listener,
    });
  }
}
