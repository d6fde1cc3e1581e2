/**
 * Time without progress after which the replica of an attempt counts as silent.
 */

import type { ModelService } from "@almondcrank/common/configuration.ts";
import type { SentAttempt } from "./attempt_sender.ts";
import type { StreamLimits } from "./stream_limits.ts";

/** Timeout of the first token, as a multiple of its predicted time. */
const firstTokenTimeoutFactor = 4;
/** Timeout between tokens, as a multiple of the service's target. */
const tokenGapTimeoutFactor = 20;

/** Computes the timeout of an attempt in its present state, in milliseconds. */
export function computeSilenceTimeoutMs(
  { attempt, choice }: SentAttempt,
  { service, limits }: {
    readonly service: ModelService;
    readonly limits: StreamLimits;
  },
): number {
  if (attempt.tokens === 0) {
    const timeoutMs = firstTokenTimeoutFactor * choice.firstTokenMs;
    return Math.max(timeoutMs, limits.minFirstTokenWaitMs);
  }
  const timeoutMs = tokenGapTimeoutFactor * service.target.betweenTokensMs;
  return Math.max(timeoutMs, limits.minTokenGapMs);
}
