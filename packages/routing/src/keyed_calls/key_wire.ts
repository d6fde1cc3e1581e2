/**
 * Converts keyed calls and their outcomes to and from messages between nodes.
 */

import { createHash } from "node:crypto";
import { Buffer } from "node:buffer";
import { type Either, Left, Right } from "purify-ts";
import type { PlainAnswer } from "@almondcrank/endpoint/plain_service.ts";
import type {
  ForwardedCall,
  ForwardedOutcome,
  KeyBinding,
} from "./key_peers.ts";
import type { KeyOutcome } from "./key_records.ts";
import {
  createAnswerDroppedRefusal,
  createKeyOutcomeUnknownRefusal,
} from "./key_refusals.ts";
import type { PlainRequest } from "../routers/plain_router.ts";
import { Refusal } from "../admission/refusal.ts";

const fingerprintLength = 32;

/** A call that carries an idempotency key. */
export interface KeyedRequest extends PlainRequest {
  readonly key: string;
}

/** Encodes a call for the owner of its key. */
export function encodeCall(
  request: KeyedRequest,
  binding: KeyBinding,
  remainingMs: number,
): ForwardedCall {
  return {
    binding,
    team: request.team.name,
    service: request.service.name,
    method: request.method,
    path: request.path,
    contentType: request.contentType,
    bodyBase64: Buffer.from(request.body).toString("base64"),
    key: request.key,
    remainingMs,
  };
}

/** Encodes the owner's answer. */
export function encodeOutcome(
  result: Either<Refusal, PlainAnswer>,
): ForwardedOutcome {
  return result.caseOf<ForwardedOutcome>({
    Right: ({ status, contentType, body }) => ({
      kind: "answered",
      status,
      contentType,
      bodyBase64: Buffer.from(body).toString("base64"),
    }),
    Left: ({ detail }) => {
      const { kind, run, retryAfterMs, message } = detail;
      // The message has no `stream_lost`, as a plain call has no stream.
      const reason = kind === "stream_lost" ? "outcome_unknown" : kind;
      return { kind: "refused", reason, run, retryAfterMs, message };
    },
  });
}

/** Encodes the recorded outcome of a key. */
export function encodeKeyOutcome(outcome: KeyOutcome): ForwardedOutcome {
  switch (outcome.kind) {
    case "answered":
      return encodeOutcome(Right(outcome.answer));
    case "dropped":
      return encodeOutcome(Left(createAnswerDroppedRefusal()));
    case "refused":
      return encodeOutcome(Left(outcome.refusal));
  }
}

/** Computes a hash of all parts of a request that a repeat must match. */
export function computeFingerprint(request: KeyedRequest): string {
  const { service, method, path, contentType, team } = request;
  const hash = createHash("sha256");
  const head = [team.name, service.name, method, path, contentType ?? null];
  hash.update(JSON.stringify(head));
  hash.update(request.body);
  return hash.digest("base64url").slice(0, fingerprintLength);
}

/** Decodes the owner's answer. */
export function decodeOutcome(
  outcome: ForwardedOutcome,
): Either<Refusal, PlainAnswer> {
  switch (outcome.kind) {
    case "answered": {
      const { status, contentType } = outcome;
      const body = Buffer.from(outcome.bodyBase64, "base64");
      return Right({ status, contentType, body });
    }
    case "refused": {
      const { reason, run, retryAfterMs, message } = outcome;
      return Left(Refusal.create({ kind: reason, run, retryAfterMs, message }));
    }
    case "not_owner":
      return Left(
        createKeyOutcomeUnknownRefusal(
          "the node that owns the key was restarted",
        ),
      );
  }
}
