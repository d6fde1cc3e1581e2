/**
 * Errors of orders that were not sent, refused or not answered.
 */

import { KindError } from "@almondcrank/common/kind_error.ts";
import type { EndpointError } from "@almondcrank/endpoint/endpoint_error.ts";
import type { LeaseError } from "./lease_error.ts";

/** Cause of an order error. */
export type OrderErrorDetail =
  /**
   * An earlier holder's orders may still reach this endpoint; nothing was sent.
   */
  | {
    readonly kind: "waiting_out";
    readonly endpoint: string;
    readonly remainingMs: number;
  }
  /** The lease is not valid; nothing was sent. */
  | { readonly kind: "lease"; readonly cause: LeaseError }
  /** The engine could not be reached or refused. */
  | { readonly kind: "endpoint"; readonly cause: EndpointError }
  /** No answer in time; the order may have taken effect. */
  | {
    readonly kind: "timeout";
    readonly endpoint: string;
    readonly timeoutMs: number;
  };

/** An order that was not sent, refused or left without an answer. */
export class OrderError extends KindError<OrderErrorDetail> {
  static create(detail: OrderErrorDetail): OrderError {
    return new OrderError(detail, formatOrderError(detail));
  }
}

function formatOrderError(detail: OrderErrorDetail): string {
  switch (detail.kind) {
    case "waiting_out":
      return `an earlier lease holder's order may still reach endpoint ${detail.endpoint}; retry in ${
        Math.ceil(detail.remainingMs)
      } ms`;
    case "lease":
      return `no order was sent: ${detail.cause.message}`;
    case "endpoint":
      return detail.cause.message;
    case "timeout":
      return `endpoint ${detail.endpoint} did not answer an order within ${detail.timeoutMs} ms; read its state and send the order again`;
  }
}
