/**
 * Refusals of the request path of plain services, with their messages.
 */

import type {
  EndpointError,
  RunState,
} from "@almondcrank/endpoint/endpoint_error.ts";
import { Refusal } from "./refusal.ts";

const noEndpointRetryMs = 1_000;

/** Refusal when no endpoint is configured, reachable and not leaving. */
export function createNoEndpointRefusal(service: string): Refusal {
  return Refusal.create({
    kind: "no_endpoint",
    run: "not_run",
    retryAfterMs: noEndpointRetryMs,
    message:
      `no endpoint of service "${service}" can take the call; send it again later`,
  });
}

/** Refusal of a call that crashes endpoints. */
export function createQuarantinedRefusal(retryAfterMs: number): Refusal {
  return Refusal.create({
    kind: "quarantined",
    run: "not_run",
    retryAfterMs,
    message:
      "this call has crashed several endpoints; change it or send it much later",
  });
}

/** Refusal when the deadline passed. */
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

/** Refusal when every allowed attempt failed; `error` is the last failure. */
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

/** Refusal when a call that must not be repeated was sent and got no answer. */
export function createOutcomeUnknownRefusal(reason: string): Refusal {
  return Refusal.create({
    kind: "outcome_unknown",
    run: "unknown",
    retryAfterMs: undefined,
    message:
      `the call may have run (${reason}); check its effect with the service before sending it under another key`,
  });
}

/** Refusal while the node is leaving. */
export function createDrainingRefusal(): Refusal {
  return Refusal.create({
    kind: "draining",
    run: "not_run",
    retryAfterMs: 0,
    message: "this node is leaving; send the call to another node",
  });
}
