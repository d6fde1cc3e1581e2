/**
 * Refusals and failures as they are reported to callers.
 */

import { KindError } from "@almondcrank/common/kind_error.ts";
import type { RunState } from "@almondcrank/endpoint/endpoint_error.ts";

/** Reason for a refusal or failure; a label of counters. */
export type RefusalKind =
  /** Predicted to miss its deadline. */
  | "overload"
  /** The team exceeds its share while other teams need theirs. */
  | "over_limit"
  /** No endpoint of the service can take the request. */
  | "no_endpoint"
  /** A part of the prompt has crashed several replicas. */
  | "quarantined"
  /** The deadline passed. */
  | "deadline"
  /** The node is leaving. */
  | "draining"
  /** A non-idempotent call may have run; its key does not tell the outcome. */
  | "outcome_unknown"
  /** A key that was used with another request, has expired or is malformed. */
  | "bad_key"
  /** Claims of keys cannot be written while the platform is unavailable. */
  | "claims_unavailable"
  /** The stream to resume is no longer known. */
  | "stream_lost"
  /** Every allowed attempt failed. */
  | "endpoint_failed";

/** Contents of a refusal. */
export interface RefusalDetail {
  readonly kind: RefusalKind;
  /** Whether the request may have run. */
  readonly run: RunState;
  /** Delay before a retry, in milliseconds; undefined when a retry is no use. */
  readonly retryAfterMs: number | undefined;
  /** What happened and what the caller can do. */
  readonly message: string;
}

/** Error of a request that gets no complete answer. */
export class Refusal extends KindError<RefusalDetail> {
  static create(detail: RefusalDetail): Refusal {
    return new Refusal(detail, detail.message);
  }

  /** Whether the request may have run. */
  get run(): RunState {
    return this.detail.run;
  }
}
