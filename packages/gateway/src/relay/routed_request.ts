/**
 * A caller's request after it was routed and admitted.
 */

import type {
  Route,
  Service,
  Tenant,
} from "@almondcrank/model/configuration.ts";
import type { PromptPart } from "@almondcrank/platform/headers.ts";
import type { RequestTrace } from "./request_trace.ts";

/** One attempt of a caller. */
export interface RoutedRequest {
  /** Id of the attempt as the caller sent it. */
  readonly id: string | undefined;
  readonly route: Route;
  readonly service: Service;
  readonly tenant: Tenant | undefined;
  /** Rank for the replica, 0 (first) to 9. */
  readonly priority: number;
  readonly method: string;
  readonly path: string;
  /** Headers that pass to every replica, names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Monotonic times in milliseconds. */
  readonly receivedAt: number;
  /** Latest time of the final answer: the caller's deadline or the route's. */
  readonly deadline: number;
  readonly promptParts: readonly PromptPart[];
  readonly promptTokens: number;
  /** Id after which the caller wants its stream to go on. */
  readonly resumeAfter: number | undefined;
  /** Aborted when the caller has left. */
  readonly callerSignal: AbortSignal;
  /** Decisions so far, for the log. */
  readonly trace: RequestTrace;
}
