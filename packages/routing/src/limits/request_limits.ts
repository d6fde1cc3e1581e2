/**
 * What the request path of model services needs of limits and retry budgets.
 */

import type { Either } from "purify-ts";
import type { Team } from "@almondcrank/common/configuration.ts";
import type { Refusal } from "../admission/refusal.ts";
import type { RetryReason } from "../repeats/retry_budget.ts";

/** Share of a team taken by one request until released. */
export interface RequestPermit {
  release(): void;
}

/** Limits of teams. */
export interface RequestLimiter {
  /** @param cost Tokens the request may take, input and output. */
  admit(team: Team, cost: number): Either<Refusal, RequestPermit>;
}

/** Retry budget per endpoint. */
export interface RetryLimiter {
  recordSend(endpoint: string): void;
  /** Takes one retry out of the budget; false when it is spent. */
  takeRetry(endpoint: string, reason: RetryReason): boolean;
}
