/**
 * The refusals of calls with keys.
 *
 * A run state speaks of the key, not only of the copy of the call at hand: it
 * is `not_run` only where the owner of the key says so or no owner can exist.
 */

import type { RunState } from "@almondcrank/endpoint/endpoint_error.ts";
import type { ClaimError } from "./key_claims.ts";
import { Refusal } from "../admission/refusal.ts";

const fullRetryMs = 1_000;

/** The key is malformed, another team's, or was used with another request. */
export function createBadKeyRefusal(reason: string): Refusal {
  return Refusal.create({
    kind: "bad_key",
    run: "not_run",
    retryAfterMs: undefined,
    message: `the key cannot be used (${reason}); take a new key for this call`,
  });
}

/** The key is older than keys are remembered. */
export function createExpiredRefusal(): Refusal {
  return Refusal.create({
    kind: "bad_key",
    run: "unknown",
    retryAfterMs: undefined,
    message:
      "the key has expired and this call was not run, but an earlier one with the key may have been; check with the service, then take a new key",
  });
}

/** The owner of the key is leaving and will not begin the call any more. */
export function createLeavingOwnerRefusal(): Refusal {
  return Refusal.create({
    kind: "draining",
    run: "not_run",
    retryAfterMs: undefined,
    message:
      "the node that owns the key is leaving and nothing will run under the key; take a new one",
  });
}

/** The table of keys is full. */
export function createFullRefusal(): Refusal {
  return Refusal.create({
    kind: "overload",
    run: "not_run",
    retryAfterMs: fullRetryMs,
    message:
      "too many calls with keys are remembered; send the call again later with the same key",
  });
}

/** The answer of a call that ran is not kept. */
export function createDroppedRefusal(): Refusal {
  return Refusal.create({
    kind: "outcome_unknown",
    run: "ran",
    retryAfterMs: undefined,
    message:
      "the call ran, but its answer is no longer kept; read the result from the service",
  });
}

/** The claim of a key cannot be written or read. */
export function createClaimsRefusal(error: ClaimError): Refusal {
  return Refusal.create({
    kind: "claims_unavailable",
    run: "unknown",
    retryAfterMs: error.detail.retryAfterMs,
    message:
      `this call was not run (${error.message}), but whether an earlier one with the key was cannot be told now; send it again later with the same key`,
  });
}

/** The process that owns the key cannot be asked or is gone. */
export function createOutcomeUnknownRefusal(reason: string): Refusal {
  return Refusal.create({
    kind: "outcome_unknown",
    run: "unknown",
    retryAfterMs: undefined,
    message:
      `whether the call ran cannot be told (${reason}); check its effect with the service before sending it under another key`,
  });
}

/** Copy of a refusal with another run state. */
export function createWithRunState(refusal: Refusal, run: RunState): Refusal {
  const message = run === "unknown"
    ? `${refusal.message}; an earlier call with the key may have run, so keep the key`
    : refusal.message;
  return Refusal.create({ ...refusal.detail, run, message });
}

/**
 * The refusal that ends a key. What did not run never will under the key, so
 * that a copy still on its way cannot run after the caller was told.
 */
export function createFinalRefusal(refusal: Refusal): Refusal {
  const message = refusal.run === "not_run"
    ? `${refusal.message}; nothing will run under this key, so take a new one`
    : refusal.message;
  const retryAfterMs = undefined;
  return Refusal.create({ ...refusal.detail, retryAfterMs, message });
}
