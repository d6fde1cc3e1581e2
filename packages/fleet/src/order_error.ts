/**
 * Reasons for which an order was not sent or not carried out.
 */

import { KindError } from "@almondcrank/common/kind_error.ts";
import type { EndpointError } from "@almondcrank/endpoint/endpoint_error.ts";
import type { LeaseError } from "./lease_error.ts";

export type OrderErrorDetail =
  /** Orders of an earlier holder may still take effect at this endpoint. */
  | {
    readonly kind: "waiting_out";
    readonly endpoint: string;
    readonly remainingMs: number;
  }
  | { readonly kind: "lease"; readonly cause: LeaseError }
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
      return `endpoint ${detail.endpoint} may still get an earlier holder's order; order again in ${
        Math.ceil(detail.remainingMs)
      } ms`;
    case "lease":
      return `no order was sent: ${detail.cause.message}`;
    case "endpoint":
      return detail.cause.message;
    case "timeout":
      return `endpoint ${detail.endpoint} did not answer an order within ${detail.timeoutMs} ms; read its state back and order again`;
  }
}
