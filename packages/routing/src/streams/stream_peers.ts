/**
 * Calls to other nodes about their streams, as the request path needs them.
 */

import type { Either } from "purify-ts";
import type { KindError } from "@almondcrank/common/kind_error.ts";
import type { StreamEvent } from "../routers/model_router.ts";

/** Why a call to a peer about a stream failed. */
export type PeerFailure = KindError<
  /** The peer did not answer. */
  | { readonly kind: "peer_unreachable" }
  /** No such node is a member. */
  | { readonly kind: "unknown_peer" }
  /** The peer does not hold the stream, or it belongs to another team. */
  | { readonly kind: "unknown_stream" }
  /** The peer does not take the stream over. */
  | { readonly kind: "refused" }
>;

/** Request to a peer for events of a stream. */
export interface ReadEventsRequest {
  readonly node: string;
  readonly id: string;
  readonly team: string;
  /** Index of the first token to return. */
  readonly from: number;
  /** Longest time the peer waits for the first event, in milliseconds. */
  readonly waitMs: number;
}

/** Events from the requested index on; `done` if the final event is included. */
export interface EventBatch {
  readonly events: readonly StreamEvent[];
  readonly done: boolean;
  /** Model as the caller named it; undefined from a peer that does not say. */
  readonly model?: string;
}

/** State of a running stream that is sent to the node taking it over. */
export interface StreamHandOver {
  readonly id: string;
  readonly team: string;
  readonly service: string;
  readonly adapter: string | undefined;
  readonly prompt: string;
  /** `conversationStart` of the request, if it is known. */
  readonly conversationStart?: number;
  readonly maxTokens: number;
  readonly tokens: readonly string[];
  /** Time left until the deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Attempts sent to endpoints so far. */
  readonly attempts: number;
  /** Of these, attempts that were moved, or did not run. */
  readonly uncountedAttempts: number;
  readonly recomputedTokens: number;
}

/** Calls about streams to other nodes. */
export interface StreamPeers {
  /** Lists the names of other nodes that are alive and not leaving. */
  list(): readonly string[];
  readEvents(
    request: ReadEventsRequest,
  ): Promise<Either<PeerFailure, EventBatch>>;
  /** Cancels a stream on the node that owns it. */
  cancel(node: string, id: string, team: string): Promise<void>;
  /** Resolves to a right value once the peer has taken the stream over. */
  handOver(
    node: string,
    stream: StreamHandOver,
  ): Promise<Either<PeerFailure, void>>;
}
