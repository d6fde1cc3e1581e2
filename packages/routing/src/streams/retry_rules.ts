/**
 * Which failures of an attempt take retry budget.
 */

import type { EndpointError } from "@almondcrank/endpoint/endpoint_error.ts";
import type { RetryLimiter } from "../limits/request_limits.ts";

/** Takes what sending a stream again costs; false when the budget is spent. */
export function takeRetry(
  retries: RetryLimiter,
  error: EndpointError,
): boolean {
  switch (error.kind) {
    case "unreachable":
    case "connection_lost":
    case "bad_answer":
    // Budget was taken before the attempt was stopped.
    case "timeout":
      return true;
    case "declined":
    case "stale_fencing":
      return retries.takeRetry(error.detail.endpoint, "declined");
  }
}
