/**
 * Computes how long a stream may send nothing before it counts as stalled.
 */

import { assumedTokensPerMs } from "@almondcrank/routing/placement/first_event_model.ts";
import type { RoutedRequest } from "./routed_request.ts";
import type { StallDetectorOptions } from "./stall_detector.ts";

/** Timeout of the first event, as a multiple of its predicted time. */
const firstEventTimeoutFactor = 4;
const minFirstEventTimeoutMs = 700;
/** Timeout between events, as a share of the gap that the route allows. */
const gapShare = 0.75;

/** Timeouts of a segment; infinite if no other replica could resume it. */
export function computeStallTimeouts(
  { route, promptTokens }: RoutedRequest,
  predictedMs: number,
): Pick<StallDetectorOptions, "firstEventTimeoutMs" | "nextEventTimeoutMs"> {
  if (!route.isResumable) {
    return { firstEventTimeoutMs: Infinity, nextEventTimeoutMs: Infinity };
  }
  const readMs = promptTokens / assumedTokensPerMs;
  return {
    firstEventTimeoutMs: Math.max(
      minFirstEventTimeoutMs,
      predictedMs * firstEventTimeoutFactor,
      readMs * firstEventTimeoutFactor,
    ),
    nextEventTimeoutMs: route.maxEventGapMs * gapShare,
  };
}
