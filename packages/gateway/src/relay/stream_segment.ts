/**
 * One leg of a stream: what is relayed from one replica, and how that ends.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { RetryReason } from "../limits/retry_budget.ts";
import type { RelayResult } from "./relay_services.ts";
import type { PendingSend } from "./replica_sender.ts";
import type { RoutedRequest } from "./routed_request.ts";
import type { StallDetector } from "./stall_detector.ts";
import type { MoveTarget } from "./stream_registry.ts";

/** A request and the response to write. */
export interface StreamExchange {
  readonly request: RoutedRequest;
  readonly response: ServerResponse;
}

/** A send that was answered. */
export interface Segment {
  readonly answer: IncomingMessage;
  readonly sending: PendingSend;
  readonly sentAt: number;
  readonly stallDetector: StallDetector;
  readonly isMoved: boolean;
}

/** How one leg ended. */
export type SegmentEnd =
  | { readonly kind: "done"; readonly result: RelayResult }
  | { readonly kind: "retry"; readonly reason: RetryReason }
  | { readonly kind: "moved"; readonly target: MoveTarget };
