/**
 * Why the gateway sends a request again.
 */

/** Why a request is sent again; also the `reason` label of `repeats_total`. */
export type RetryReason =
  | "not_sent"
  | "declined"
  | "lost"
  | "failed"
  | "silent"
  | "moved";
