/**
 * Failures of calls to endpoints, which say whether the call may have run.
 */

import { KindError } from "@almondcrank/common/kind_error.ts";

/** Whether the endpoint may have run the request. */
export type RunState = "not_run" | "unknown" | "ran";

/** Cause of a failed call. */
export type EndpointErrorDetail =
  /** No connection was made, so nothing was sent. */
  | {
    readonly kind: "unreachable";
    readonly endpoint: string;
    readonly reason: string;
  }
  /** The connection ended after the request was sent. */
  | {
    readonly kind: "connection_lost";
    readonly endpoint: string;
    readonly reason: string;
  }
  /** No progress within the allowed time. */
  | {
    readonly kind: "timeout";
    readonly endpoint: string;
    readonly timeoutMs: number;
  }
  /** The endpoint declined the request without running it. */
  | {
    readonly kind: "declined";
    readonly endpoint: string;
    readonly reason: string;
  }
  /** It was no longer allowed when it was about to be sent; nothing was. */
  | { readonly kind: "withheld"; readonly endpoint: string }
  /** An order carried a fencing token older than one the endpoint accepted. */
  | {
    readonly kind: "stale_fencing";
    readonly endpoint: string;
    readonly sent: number;
    readonly known: number;
  }
  /** The answer violates the protocol. */
  | {
    readonly kind: "bad_answer";
    readonly endpoint: string;
    readonly reason: string;
  };

/** A failed call to an endpoint. */
export class EndpointError extends KindError<EndpointErrorDetail> {
  static create(detail: EndpointErrorDetail): EndpointError {
    return new EndpointError(detail, formatEndpointError(detail));
  }

  /** Whether the request may have run although the call failed. */
  get run(): RunState {
    return findRunState(this.detail);
  }
}

function findRunState(detail: EndpointErrorDetail): RunState {
  switch (detail.kind) {
    case "unreachable":
    case "declined":
    case "withheld":
    case "stale_fencing":
      return "not_run";
    case "connection_lost":
    case "timeout":
    case "bad_answer":
      return "unknown";
  }
}

function formatEndpointError(detail: EndpointErrorDetail): string {
  const { endpoint } = detail;
  switch (detail.kind) {
    case "unreachable":
      return `endpoint ${endpoint} is unreachable (${detail.reason}); use another`;
    case "connection_lost":
      return `connection to endpoint ${endpoint} was lost (${detail.reason}); resume elsewhere if the request is idempotent`;
    case "timeout":
      return `endpoint ${endpoint} made no progress for ${
        Math.round(detail.timeoutMs)
      } ms; resume elsewhere if the request is idempotent`;
    case "declined":
      return `endpoint ${endpoint} declined the request (${detail.reason}); use another`;
    case "withheld":
      return `the call to endpoint ${endpoint} was withheld, since its lease lapsed; renew the lease`;
    case "stale_fencing":
      return `endpoint ${endpoint} knows fencing token ${detail.known}, newer than ${detail.sent}; renew the lease`;
    case "bad_answer":
      return `endpoint ${endpoint} answered outside its protocol (${detail.reason}); check its version`;
  }
}
