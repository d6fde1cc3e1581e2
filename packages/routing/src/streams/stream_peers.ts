/**
 * Streams of other nodes, as the request path needs them.
 */

import type { Either } from "purify-ts";
import type { KindError } from "@almondcrank/common/kind_error.ts";
import type { StreamEvent } from "../routers/model_router.ts";

/** Why a peer did not answer a question about a stream. */
export type PeerFailure = KindError<
  | { readonly kind: "peer_unreachable" }
  /** The peer does not hold the stream, or it is another team's. */
  | { readonly kind: "unknown_stream" }
>;

/** Question for events of a stream. */
export interface ReadEventsRequest {
  readonly node: string;
  readonly id: string;
  readonly team: string;
  /** First token wanted. */
  readonly from: number;
  /** Time the peer may wait for the first event. */
  readonly waitMs: number;
}

/** Events from the asked index on; `done` once the final event is among them. */
export interface EventBatch {
  readonly events: readonly StreamEvent[];
  readonly done: boolean;
}

/** A running stream on its way to another node. */
export interface StreamHandOver {
  readonly id: string;
  readonly team: string;
  readonly service: string;
  readonly adapter: string | undefined;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly tokens: readonly string[];
  /** Time left until the deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Attempts made so far. */
  readonly attempts: number;
  readonly recomputedTokens: number;
}

/** Calls to other nodes. */
export interface StreamPeers {
  /** Names of other nodes that are alive and not leaving. */
  list(): readonly string[];
  readEvents(
    request: ReadEventsRequest,
  ): Promise<Either<PeerFailure, EventBatch>>;
  /** Cancels a stream on the node that owns it. */
  cancel(node: string, id: string, team: string): Promise<void>;
  /** Resolves to true once the peer has taken the stream over. */
  handOver(
    node: string,
    stream: StreamHandOver,
  ): Promise<Either<PeerFailure, void>>;
}
