/**
 * Interfaces of team limits and retry budgets for the request path of model
 * services.
 */

import type { Either } from "purify-ts";
import type { Team } from "@almondcrank/common/configuration.ts";
import type { Refusal } from "../admission/refusal.ts";
import type { RetryReason } from "../repeats/endpoint_retries.ts";

/** Permit of one admitted request; released once, when the request has ended. */
export interface RequestPermit {
  release(): void;
}

/** Admits requests within the limits of their teams. */
export interface RequestLimiter {
  /** @param cost Tokens the request may take, input and output. */
  admit(team: Team, cost: number): Either<Refusal, RequestPermit>;
}

/** Limits retries by a budget per endpoint. */
export interface RetryLimiter {
  /** Records the first send of a request, which adds to the budget. */
  recordSend(endpoint: string): void;
  /** Takes one retry out of the budget; false when it is spent. */
  takeRetry(endpoint: string, reason: RetryReason): boolean;
}
