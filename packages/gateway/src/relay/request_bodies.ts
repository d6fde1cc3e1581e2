/**
 * Reads the bodies of all requests of a node within its memory.
 *
 * A body counts until its request ends: it may be sent again until then, by a retry,
 * a move or a resumed stream, or its request waits for a place.
 */

import type { IncomingMessage } from "node:http";
import { BodyBudget } from "@almondcrank/common/body_budget.ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type { LogFields } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import { composeLocalReply, type LocalReply } from "./local_reply.ts";
import type { Routed } from "./request_admission.ts";
import {
  type BodyResult,
  readRequestBody,
} from "@almondcrank/common/request_body.ts";
import { computeTimerMs } from "./timer_ms.ts";

/** Time after which a caller that found no room tries again, in milliseconds. */
const noRoomRetryMs = 500;

/** A body that was read. */
export interface ReadBody {
  readonly kind: "read";
  readonly body: Buffer;
  /** Gives back its room, once the request has ended. */
  readonly release: () => void;
}

/** A body that was not read. */
export interface UnreadBody {
  readonly kind: Exclude<BodyResult["kind"], "read">;
  /** Log fields that explain why. */
  readonly fields: LogFields;
}

/** Clock and memory of a node. */
export interface RequestBodiesOptions {
  readonly clock: Clock;
  /** Memory that the process may use. */
  readonly memoryBytes: number;
  /** What answers hold, for the metrics. */
  readonly answers: BodyBudget;
}

/** Bodies of the requests of one node. */
export class RequestBodies {
  readonly #budget: BodyBudget;
  readonly #answers: BodyBudget;

  private constructor(
    { clock, memoryBytes, answers }: RequestBodiesOptions,
  ) {
    this.#answers = answers;
    this.#budget = BodyBudget.createFor(memoryBytes, clock);
  }

  static create(options: RequestBodiesOptions): RequestBodies {
    return new RequestBodies(options);
  }

  /** Sets the gauges of what requests and answers hold. */
  recordMetrics(metrics: Metrics): void {
    metrics.setGauge("request_body_bytes", this.#budget.heldBytes);
    metrics.setGauge("answer_bytes", this.#answers.heldBytes);
    metrics.setGauge("unread_answers_cut", this.#answers.displaced);
  }

  /** Reads the body of a request until its deadline; never rejects. */
  async read(
    request: IncomingMessage,
    { routes, route, tenant }: Routed,
    { receivedAt, deadline }: {
      readonly receivedAt: number;
      readonly deadline: number;
    },
  ): Promise<ReadBody | UnreadBody> {
    const priority = tenant?.priority ?? route.priority;
    let release = (): void => {};
    const result = await readRequestBody(request, {
      maxBytes: routes.configuration.limits.maxBodyBytes,
      timeoutMs: computeTimerMs(deadline - receivedAt),
      openShare: (onDisplaced) => {
        const group = tenant?.name;
        const share = this.#budget.open({ priority, group, onDisplaced });
        release = () => share.release();
        return share;
      },
    });
    if (result.kind === "read") return { ...result, release };
    const declaredBytes = request.headers["content-length"];
    const fields = {
      declaredBytes,
      rank: priority,
      heldBytes: this.#budget.heldBytes,
    };
    return { kind: result.kind, fields };
  }
}

/** Composes the reply to a request whose body was not read. */
export function composeUnreadReply(
  kind: Exclude<UnreadBody["kind"], "gone">,
): LocalReply {
  switch (kind) {
    case "too_large":
      return composeLocalReply(413, "body_too_large");
    case "timeout":
      return composeLocalReply(408, "body_timeout");
    case "no_room":
      return composeLocalReply(503, "memory_short", noRoomRetryMs);
  }
}
