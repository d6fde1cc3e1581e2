/**
 * Errors of calls to the platform's services.
 */

import { KindError } from "@almondcrank/common/kind_error.ts";

/** Platform services that the system calls. */
export type PlatformService =
  | "object_api"
  | "host_list"
  | "cloud_api"
  | "weight_store";

/** Details of a failed call; times are milliseconds. */
export type PlatformErrorDetail =
  /**
   * The call did not reach the service, the service failed, or no answer came
   * in time.
   */
  | {
    readonly kind: "unavailable";
    readonly service: PlatformService;
    readonly reason: string;
  }
  /** A write was sent and its answer was lost: it may have taken effect. */
  | {
    readonly kind: "outcome_unknown";
    readonly service: PlatformService;
    readonly reason: string;
  }
  /** The circuit breaker is open, so the call was not sent. */
  | {
    readonly kind: "breaker_open";
    readonly service: PlatformService;
    readonly retryAfterMs: number;
  }
  /** The service limits the call rate; further calls are not sent meanwhile. */
  | {
    readonly kind: "rate_limited";
    readonly service: PlatformService;
    readonly retryAfterMs: number;
  }
  /** The service refused the call with a 4xx status. */
  | {
    readonly kind: "rejected";
    readonly service: PlatformService;
    readonly status: number;
    readonly reason: string;
  }
  /** The answer does not match the wire format. */
  | {
    readonly kind: "bad_answer";
    readonly service: PlatformService;
    readonly reason: string;
  };

/** A failed call to a platform service. */
export class PlatformError extends KindError<PlatformErrorDetail> {
  static create(detail: PlatformErrorDetail): PlatformError {
    return new PlatformError(detail, formatPlatformError(detail));
  }
}

function formatPlatformError(detail: PlatformErrorDetail): string {
  const { service } = detail;
  switch (detail.kind) {
    case "unavailable":
      return `${service} is unavailable (${detail.reason}); try again later`;
    case "outcome_unknown":
      return `the answer of ${service} was lost (${detail.reason}); read back before writing again`;
    case "breaker_open":
      return `circuit breaker of ${service} is open after repeated failures; try again in ${
        Math.ceil(detail.retryAfterMs)
      } ms`;
    case "rate_limited":
      return `${service} limits the call rate; try again in ${
        Math.ceil(detail.retryAfterMs)
      } ms`;
    case "rejected":
      return `${service} refused the call with status ${detail.status} (${detail.reason}); correct the call`;
    case "bad_answer":
      return `the answer of ${service} does not match its protocol (${detail.reason}); check its address and version`;
  }
}
