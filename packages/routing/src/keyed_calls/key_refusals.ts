/**
 * Refusals of calls with idempotency keys.
 *
 * The run state covers all copies of the call with the key, not only the current
 * one: it is `not_run` only if the owner of the key says so or the key cannot
 * have an owner.
 */

import type { RunState } from "@almondcrank/endpoint/endpoint_error.ts";
import type { ClaimError } from "./key_claims.ts";
import { Refusal } from "../admission/refusal.ts";

const tableFullRetryMs = 1_000;

/** Refuses a malformed key, another team's, or one used with another request. */
export function createBadKeyRefusal(reason: string): Refusal {
  return Refusal.create({
    kind: "bad_key",
    run: "not_run",
    retryAfterMs: undefined,
    message: `the key cannot be used (${reason}); take a new key for this call`,
  });
}

/** Refuses a key that is past its lifetime. */
export function createExpiredRefusal(): Refusal {
  return Refusal.create({
    kind: "bad_key",
    run: "unknown",
    retryAfterMs: undefined,
    message:
      "the key has expired and this call was not run, but an earlier one with the key may have been; check with the service, then take a new key",
  });
}

/** Refuses a call that the leaving owner of its key will no longer begin. */
export function createLeavingOwnerRefusal(): Refusal {
  return Refusal.create({
    kind: "draining",
    run: "not_run",
    retryAfterMs: undefined,
    message:
      "the node that owns the key is leaving and nothing will run under the key; take a new one",
  });
}

/** Refuses a new key because the table is full or the team holds its maximum. */
export function createTableFullRefusal(): Refusal {
  return Refusal.create({
    kind: "overload",
    run: "not_run",
    retryAfterMs: tableFullRetryMs,
    message:
      "the node or the team holds as many keys as it may; send the call again later with the same key",
  });
}

/** Refuses a repeat of a call that ran but whose answer is no longer kept. */
export function createAnswerDroppedRefusal(): Refusal {
  return Refusal.create({
    kind: "outcome_unknown",
    run: "ran",
    retryAfterMs: undefined,
    message:
      "the call ran, but its answer is no longer kept; read the result from the service",
  });
}

/** Refuses a call because the claim of its key cannot be written or read. */
export function createClaimsUnavailableRefusal(error: ClaimError): Refusal {
  return Refusal.create({
    kind: "claims_unavailable",
    run: "unknown",
    retryAfterMs: error.detail.retryAfterMs,
    message:
      `this call did not run (${error.message}), but an earlier one with the key may have; send it again later with the same key`,
  });
}

/** Reports that the outcome of a call with a key cannot be learned. */
export function createKeyOutcomeUnknownRefusal(reason: string): Refusal {
  return Refusal.create({
    kind: "outcome_unknown",
    run: "unknown",
    retryAfterMs: undefined,
    message:
      `it is unknown whether the call ran (${reason}); check its effect with the service before sending it under another key`,
  });
}

/** Copies a refusal with another run state. */
export function createWithRunState(refusal: Refusal, run: RunState): Refusal {
  const message = run === "unknown"
    ? `${refusal.message}; an earlier call with the key may have run, so keep the key`
    : refusal.message;
  return Refusal.create({ ...refusal.detail, run, message });
}

/**
 * Creates the refusal that is recorded as a key's outcome. A call that did not
 * run never will under the key, so that a copy still in flight cannot run after
 * the caller was told so.
 */
export function createFinalRefusal(refusal: Refusal): Refusal {
  const message = refusal.run === "not_run"
    ? `${refusal.message}; nothing will run under this key, so take a new one`
    : refusal.message;
  const retryAfterMs = undefined;
  return Refusal.create({ ...refusal.detail, retryAfterMs, message });
}
