/**
 * Interface of the request path of model services, used by the callers' routes.
 */

import type { Either } from "purify-ts";
import type { ModelService, Team } from "@almondcrank/common/configuration.ts";
import type { Refusal } from "../admission/refusal.ts";

/** Authenticated request of a caller to a model service. */
export interface ModelRequest {
  readonly team: Team;
  readonly service: ModelService;
  readonly adapter?: string;
  readonly prompt: string;
  /**
   * Length in characters of the prefix of the prompt that every later turn of the
   * conversation shares; left out when it is not known.
   */
  readonly conversationStart?: number;
  readonly maxTokens: number;
  /** Monotonic time by which the whole answer is due, in milliseconds. */
  readonly deadline: number;
}

/** Formats the model of a request as its caller named it. */
export function formatModelName(
  { service, adapter }: Pick<ModelRequest, "service" | "adapter">,
): string {
  return adapter === undefined ? service.name : `${service.name}:${adapter}`;
}

/** Tokens used by one request over all its attempts. */
export interface StreamUsage {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly cachedTokens: number;
  readonly computedTokens: number;
  /** Tokens computed although an earlier attempt or turn had computed them. */
  readonly recomputedTokens: number;
  /** Attempts sent to endpoints. */
  readonly attempts: number;
}

/** One event of a stream; `index` counts output tokens from 0. */
export type StreamEvent =
  | { readonly kind: "token"; readonly index: number; readonly text: string }
  | {
    readonly kind: "end";
    readonly reason: "stop" | "length";
    readonly usage: StreamUsage;
  }
  | { readonly kind: "failed"; readonly refusal: Refusal };

/** Stream of an accepted request. Its tokens are kept until they were read. */
export interface ModelStream {
  /** Identifies the stream on every node; begins with the owning node's name. */
  readonly id: string;
  /** Model as the caller named it; empty if the stream's node does not say. */
  readonly model: string;
  /**
   * Yields events from token `from` on, ending after `end` or `failed`.
   * Aborting `signal` detaches the reader; the stream goes on for some time so
   * that the caller can reconnect.
   */
  read(from: number, signal: AbortSignal): AsyncIterable<StreamEvent>;
  /** Cancels generation because the caller no longer wants the answer. */
  cancel(): void;
}

/** Routes requests of model services. */
export interface ModelRouter {
  /** Accepts or refuses a request at once. */
  open(request: ModelRequest): Promise<Either<Refusal, ModelStream>>;
  /** Finds a stream of this node or of a peer, for a caller that reconnects. */
  find(id: string, team: Team): Promise<Either<Refusal, ModelStream>>;
}
