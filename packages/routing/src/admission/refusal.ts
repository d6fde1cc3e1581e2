/**
 * Refusals and failures as callers see them.
 */

import { KindError } from "@almondcrank/common/kind_error.ts";
import type { RunState } from "@almondcrank/endpoint/endpoint_error.ts";

/** Reasons for which a request is refused or given up, labels of counters. */
export type RefusalKind =
  /** Predicted to miss its deadline. */
  | "overload"
  /** The team exceeds its share while others need theirs. */
  | "over_limit"
  /** No endpoint of the service can take work. */
  | "no_endpoint"
  /** The deadline passed. */
  | "deadline"
  /** The node is leaving. */
  | "draining"
  /** A non-idempotent call may have run; its key does not tell. */
  | "outcome_unknown"
  /** A key that was used with another request, has expired or is malformed. */
  | "bad_key"
  /** Claims of keys cannot be written while the platform is out. */
  | "claims_unavailable"
  /** The stream to resume is not known any more. */
  | "stream_lost"
  /** Every allowed attempt failed. */
  | "endpoint_failed";

/** What a refusal tells the caller. */
export interface RefusalDetail {
  readonly kind: RefusalKind;
  /** Whether the request may have run. */
  readonly run: RunState;
  /** When coming back makes sense, in milliseconds; undefined when it does not. */
  readonly retryAfterMs: number | undefined;
  /** What happened and what the caller can do. */
  readonly message: string;
}

/** A request that gets no whole answer. */
export class Refusal extends KindError<RefusalDetail> {
  static create(detail: RefusalDetail): Refusal {
    return new Refusal(detail, detail.message);
  }

  get run(): RunState {
    return this.detail.run;
  }
}
