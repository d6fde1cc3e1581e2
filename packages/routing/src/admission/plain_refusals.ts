/**
 * The refusals of the plain request path and their messages.
 */

import type {
  EndpointError,
  RunState,
} from "@almondcrank/endpoint/endpoint_error.ts";
import { Refusal } from "./refusal.ts";

const noEndpointRetryMs = 1_000;

/** No endpoint is configured, reachable and staying. */
export function createNoEndpointRefusal(service: string): Refusal {
  return Refusal.create({
    kind: "no_endpoint",
    run: "not_run",
    retryAfterMs: noEndpointRetryMs,
    message:
      `no endpoint of service "${service}" can take the call; send it again later`,
  });
}

/** The deadline passed. */
export function createDeadlineRefusal(run: RunState): Refusal {
  const state = run === "not_run"
    ? "the call did not run"
    : "the call may have run";
  return Refusal.create({
    kind: "deadline",
    run,
    retryAfterMs: undefined,
    message: `the deadline passed and ${state}; allow more time`,
  });
}

/** Every allowed attempt failed. */
export function createEndpointFailedRefusal(
  error: EndpointError,
  run: RunState,
): Refusal {
  return Refusal.create({
    kind: "endpoint_failed",
    run,
    retryAfterMs: run === "not_run" ? noEndpointRetryMs : undefined,
    message: `the call failed: ${error.message}`,
  });
}

/** A call that must not be repeated was sent and its answer is missing. */
export function createOutcomeUnknownRefusal(reason: string): Refusal {
  return Refusal.create({
    kind: "outcome_unknown",
    run: "unknown",
    retryAfterMs: undefined,
    message:
      `the call may have run (${reason}); check its effect with the service before sending it under another key`,
  });
}

/** The node is leaving. */
export function createDrainingRefusal(): Refusal {
  return Refusal.create({
    kind: "draining",
    run: "not_run",
    retryAfterMs: 0,
    message: "this node is leaving; send the call to another node",
  });
}
