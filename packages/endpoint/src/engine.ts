/**
 * Interface and protocol of a model engine.
 *
 * HTTP with JSON:
 *
 *     POST /generate       GenerateRequest  200 application/x-ndjson of GenerateEvent
 *                                           | 503 {reason} declined, nothing ran
 *     POST /cancel         {id}             200, idempotent
 *     GET  /load                            200 LoadReport
 *     GET  /cache-events?since=SEQ          200 CacheEventBatch
 *     POST /kv/export      {id}             200 CacheExport | 404
 *     POST /kv/import      CacheImport      200 {tokens} | 404
 *     GET  /kv/HANDLE                       exported cache, fetched by the importing engine
 *     POST /orders         Order            200 EngineState | 412 {known: number}
 *     GET  /state                           200 EngineState
 *
 * Text is a sequence of tokens; a token is a word with its leading white space,
 * as split by `splitTokens` in `tokens.ts`. A generation is resumed by sending
 * the same prompt with the tokens so far; output continues after them.
 */

import type { Either } from "purify-ts";
import type { EndpointError } from "./endpoint_error.ts";

/** Request to start or resume a generation. */
export interface GenerateRequest {
  /** Unique per attempt; used to cancel and to export. */
  readonly id: string;
  readonly model: string;
  readonly adapter?: string;
  readonly prompt: string;
  /** Output tokens already delivered; empty for a new request. */
  readonly tokensSoFar: readonly string[];
  /** Limit of all output tokens, including those so far. */
  readonly maxTokens: number;
  /** 0 is served first. */
  readonly priority: number;
  /** Time until the deadline, in milliseconds. */
  readonly remainingMs: number;
  /** `CacheImport.importId` of a cache imported for this request, if any. */
  readonly importId?: string;
}

/** Tokens that an engine computed or took from a cache for a request. */
export interface EngineUsage {
  readonly promptTokens: number;
  /** Input tokens found in the prefix cache or in an imported cache. */
  readonly cachedTokens: number;
  /** Input tokens that had to be computed. */
  readonly computedTokens: number;
  readonly outputTokens: number;
}

/** One event of a generation. */
export type GenerateEvent =
  | { readonly kind: "token"; readonly index: number; readonly text: string }
  | {
    readonly kind: "end";
    readonly reason: "stop" | "length" | "cancelled";
    readonly usage: EngineUsage;
  };

/** Load as the engine last published it; it lags behind the present load. */
export interface LoadReport {
  /** Age of the report in milliseconds when it was sent. */
  readonly ageMs: number;
  readonly queued: number;
  readonly running: number;
  /** Requests that run at once. */
  readonly slots: number;
  /** Input tokens waiting to be computed. */
  readonly queuedTokens: number;
  readonly prefillTokensPerSecond: number;
  /** Time between output tokens at the present batch, in milliseconds. */
  readonly betweenTokensMs: number;
  readonly cacheUsedTokens: number;
  readonly cacheTokens: number;
  /** Requests a second that it takes from all nodes; left out without a limit. */
  readonly requestsPerSecond?: number | undefined;
}

/** Change of the prefix cache; `blocks` are hashes from `computeBlockHashes`. */
export interface CacheEvent {
  /** Increases by one per event; a larger step means lost events. */
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly blocks: readonly number[];
}

/** Cache events after a requested sequence number; `sequence` is the latest. */
export interface CacheEventBatch {
  readonly sequence: number;
  readonly events: readonly CacheEvent[];
}

/** Exported cache of one request, held by the exporting engine until it ends. */
export interface CacheExport {
  readonly handle: string;
  readonly tokens: number;
  readonly bytes: number;
}

/** Order to fetch an exported cache from another engine. */
export interface CacheImport {
  readonly importId: string;
  /** Address of the exporting engine. */
  readonly from: string;
  readonly handle: string;
}

/** Role that an engine is ordered to have. */
export type EngineRole = "serve" | "drain";

/** Model version that an engine has loaded or is ordered to load. */
export interface LoadedModel {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
}

/** Complete desired state of an engine; idempotent. */
export interface Order {
  readonly fencing: number;
  readonly holder: string;
  readonly role: EngineRole;
  readonly models: readonly LoadedModel[];
}

/** Present state of an engine. */
export interface EngineState {
  /** Highest fencing token accepted so far, 0 before the first order. */
  readonly fencing: number;
  readonly role: EngineRole;
  readonly models: readonly LoadedModel[];
  /** Models whose weights are still being loaded. */
  readonly loading: readonly string[];
}

/** Client of one engine. */
export interface Engine {
  readonly name: string;
  /**
   * Yields events until `end`; a failure is yielded last as a `Left`.
   * Aborting `signal` cancels the generation.
   */
  generate(
    request: GenerateRequest,
    signal: AbortSignal,
  ): AsyncIterable<Either<EndpointError, GenerateEvent>>;
  readLoad(): Promise<Either<EndpointError, LoadReport>>;
  readCacheEvents(
    since: number,
  ): Promise<Either<EndpointError, CacheEventBatch>>;
  exportCache(id: string): Promise<Either<EndpointError, CacheExport>>;
  importCache(cacheImport: CacheImport): Promise<Either<EndpointError, number>>;
  /** Sends an order unless `isAllowed` is false when it is about to leave. */
  sendOrder(
    order: Order,
    isAllowed: () => boolean,
  ): Promise<Either<EndpointError, EngineState>>;
  readState(): Promise<Either<EndpointError, EngineState>>;
}
