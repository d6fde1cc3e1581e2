/**
 * What the owner of a key and the other nodes say to each other.
 *
 * All values are plain JSON, so that any transport between the system's
 * processes can carry them. A forwarded call may be sent again: the owner runs
 * it once and answers each copy alike.
 */

import type { Either } from "purify-ts";
import { z } from "zod";
import { KindError } from "@almondcrank/common/kind_error.ts";

/** The one process that may run the calls of a key. */
export interface KeyOwner {
  readonly node: string;
  readonly incarnation: string;
}

/** Binding of a key to its owner. */
export const keyBindingSchema = z.object({
  node: z.string(),
  incarnation: z.string(),
  /** Milliseconds on the owner's monotonic clock since it started. */
  boundAtMs: z.number(),
  /** Identifies the key among those of its owner. */
  id: z.string(),
}).readonly();

/** Binding of a key to its owner. */
export type KeyBinding = z.infer<typeof keyBindingSchema>;

/** A call on its way to the owner of its key. */
export const forwardedCallSchema = z.object({
  binding: keyBindingSchema,
  team: z.string(),
  service: z.string(),
  method: z.string(),
  path: z.string(),
  contentType: z.string().optional(),
  bodyBase64: z.string(),
  /** Key as the caller sent it. */
  key: z.string(),
  remainingMs: z.number(),
}).readonly();

/** A call on its way to the owner of its key. */
export type ForwardedCall = z.infer<typeof forwardedCallSchema>;

/** The owner's answer to a forwarded call. */
export const forwardedOutcomeSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("answered"),
    status: z.number(),
    contentType: z.string().optional(),
    bodyBase64: z.string(),
  }).readonly(),
  z.object({
    kind: z.literal("refused"),
    reason: z.enum([
      "overload",
      "over_limit",
      "no_endpoint",
      "deadline",
      "draining",
      "outcome_unknown",
      "bad_key",
      "claims_unavailable",
      "endpoint_failed",
    ]),
    run: z.enum(["not_run", "unknown", "ran"]),
    retryAfterMs: z.number().optional(),
    message: z.string(),
  }).readonly(),
  /** The process asked is not the owner and was handed no outcome of the key. */
  z.object({ kind: z.literal("not_owner") }).readonly(),
]);

/** The owner's answer to a forwarded call. */
export type ForwardedOutcome = z.infer<typeof forwardedOutcomeSchema>;

/** Outcomes that a leaving owner hands to an heir, newest first. */
export const keyBatchSchema = z.object({
  owner: z.object({ node: z.string(), incarnation: z.string() }).readonly(),
  outcomes: z.array(
    z.object({
      id: z.string(),
      fingerprint: z.string(),
      outcome: forwardedOutcomeSchema,
    }).readonly(),
  ).readonly(),
}).readonly();

/** Outcomes that a leaving owner hands to an heir, newest first. */
export type KeyBatch = z.infer<typeof keyBatchSchema>;

/** The outcome of one key in a batch. */
export type HandedOverOutcome = KeyBatch["outcomes"][number];

export type KeyPeerErrorDetail =
  /** No such process is known any more. */
  | { readonly kind: "unknown_peer"; readonly node: string }
  /** The call did not come back in time or the connection was lost. */
  | {
    readonly kind: "peer_failed";
    readonly node: string;
    readonly reason: string;
  };

/** A call that could not be forwarded. */
export class KeyPeerError extends KindError<KeyPeerErrorDetail> {
  static create(detail: KeyPeerErrorDetail): KeyPeerError {
    return new KeyPeerError(detail, formatKeyPeerError(detail));
  }
}

function formatKeyPeerError(detail: KeyPeerErrorDetail): string {
  switch (detail.kind) {
    case "unknown_peer":
      return `node ${detail.node} that owns the key is gone; check the call's effect with its service`;
    case "peer_failed":
      return `node ${detail.node} that owns the key did not answer (${detail.reason}); send the call again with the same key`;
  }
}

/** Sends calls to the processes that own their keys. */
export interface KeyPeers {
  /** Other processes that are alive as this node sees them. */
  list(): readonly KeyOwner[];
  /** Resolves by the time `signal` aborts. */
  forward(
    owner: KeyOwner,
    call: ForwardedCall,
    signal: AbortSignal,
  ): Promise<Either<KeyPeerError, ForwardedOutcome>>;
  /** Hands outcomes to an heir, within a second or so. */
  handOver(
    heir: KeyOwner,
    batch: KeyBatch,
  ): Promise<Either<KeyPeerError, void>>;
}
