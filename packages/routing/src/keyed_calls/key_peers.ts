/**
 * Messages between the owner of a key and other nodes.
 *
 * All values are plain JSON, so that any transport between nodes can carry them.
 * A forwarded call may be sent more than once: the owner runs it once and gives
 * every copy the same answer.
 */

import type { Either } from "purify-ts";
import { z } from "zod";
import { KindError } from "@almondcrank/common/kind_error.ts";

/** The process incarnation that alone may run the call of a key. */
export interface KeyOwner {
  readonly node: string;
  readonly incarnation: string;
}

/** Schema of `KeyBinding`. */
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

/** Schema of `ForwardedCall`. */
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

/** A call that is forwarded to the owner of its key. */
export type ForwardedCall = z.infer<typeof forwardedCallSchema>;

/** Schema of `ForwardedOutcome`. */
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
      "quarantined",
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
  /** The process is not the owner and has received no outcome of the key. */
  z.object({ kind: z.literal("not_owner") }).readonly(),
]);

/** The owner's answer to a forwarded call. */
export type ForwardedOutcome = z.infer<typeof forwardedOutcomeSchema>;

/** Schema of `KeyBatch`. */
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

/** Outcomes that a leaving owner hands to a successor, newest first. */
export type KeyBatch = z.infer<typeof keyBatchSchema>;

/** The outcome of one key in a batch. */
export type HandedOverOutcome = KeyBatch["outcomes"][number];

/** Why a call to a peer about a key failed. */
export type KeyPeerErrorDetail =
  /** The process is not known, or no longer. */
  | { readonly kind: "unknown_peer"; readonly node: string }
  /** The peer did not answer in time, or the connection was lost. */
  | {
    readonly kind: "peer_failed";
    readonly node: string;
    readonly reason: string;
  };

/** A call to a peer about a key failed. */
export class KeyPeerError extends KindError<KeyPeerErrorDetail> {
  static create(detail: KeyPeerErrorDetail): KeyPeerError {
    return new KeyPeerError(detail, formatKeyPeerError(detail));
  }
}

function formatKeyPeerError(detail: KeyPeerErrorDetail): string {
  switch (detail.kind) {
    case "unknown_peer":
      return `node ${detail.node} that owns the key is not known; check the call's effect with its service`;
    case "peer_failed":
      return `node ${detail.node} that owns the key did not answer (${detail.reason}); send the call again with the same key`;
  }
}

/** Calls about keys to other processes. */
export interface KeyPeers {
  /** Lists other processes that this node considers alive. */
  list(): readonly KeyOwner[];
  /** Forwards a call to the owner of its key; ends when `signal` aborts. */
  forward(
    owner: KeyOwner,
    call: ForwardedCall,
    signal: AbortSignal,
  ): Promise<Either<KeyPeerError, ForwardedOutcome>>;
  /** Hands outcomes to a successor; settles within about a second. */
  handOver(
    successor: KeyOwner,
    batch: KeyBatch,
  ): Promise<Either<KeyPeerError, void>>;
}
