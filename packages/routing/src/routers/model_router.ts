/**
 * The request path of model services as the callers' front uses it.
 */

import type { Either } from "purify-ts";
import type { ModelService, Team } from "@almondcrank/common/configuration.ts";
import type { Refusal } from "../admission/refusal.ts";

/** A caller's request to a model service, already authenticated. */
export interface ModelRequest {
  readonly team: Team;
  readonly service: ModelService;
  readonly adapter?: string;
  readonly prompt: string;
  /**
   * Length in characters of the part of the prompt with which every later turn
   * of the conversation begins; left out when it is not known.
   */
  readonly conversationStart?: number;
  readonly maxTokens: number;
  /** Monotonic time by which the whole answer is due, in milliseconds. */
  readonly deadline: number;
}

/** Tokens spent on one request over all its attempts. */
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

/** An accepted request. Its tokens are kept until its readers had them. */
export interface ModelStream {
  /** Identifies the stream on every node; begins with the owning node's name. */
  readonly id: string;
  /**
   * Yields events from token `from` on, ending after `end` or `failed`.
   * A reader that aborts detaches; the stream runs on for a while so that the
   * caller can come back.
   */
  read(from: number, signal: AbortSignal): AsyncIterable<StreamEvent>;
  /** Cancels generation: the caller does not want the answer. */
  cancel(): void;
}

/** Routes requests of model services. */
export interface ModelRouter {
  /** Accepts or refuses a request at once. */
  open(request: ModelRequest): Promise<Either<Refusal, ModelStream>>;
  /** Finds a stream of this node or of a peer, for a caller that comes back. */
  find(id: string, team: Team): Promise<Either<Refusal, ModelStream>>;
}
