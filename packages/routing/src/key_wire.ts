/**
 * Conversions between calls, outcomes and their form between nodes.
 */

import { Buffer } from "node:buffer";
import { type Either, Left, Right } from "purify-ts";
import type { PlainAnswer } from "@almondcrank/endpoint/plain_service.ts";
import type {
  ForwardedCall,
  ForwardedOutcome,
  KeyBinding,
} from "./key_peers.ts";
import { createLostOwnerRefusal } from "./key_refusals.ts";
import type { PlainRequest } from "./plain_router.ts";
import { Refusal } from "./refusal.ts";

/** A call that carries a key. */
export interface KeyedRequest extends PlainRequest {
  readonly key: string;
}

/** Encodes a call for its owner. */
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
      // A plain call has no stream that could be lost.
      const reason = kind === "stream_lost" ? "outcome_unknown" : kind;
      return { kind: "refused", reason, run, retryAfterMs, message };
    },
  });
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
        createLostOwnerRefusal("the node that owns the key was restarted"),
      );
  }
}
