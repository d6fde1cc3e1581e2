/**
 * Faults that tests inject into a stand-in of a replica.
 */

/** Fault injected into a request. */
export type ReplicaFault =
  | { readonly kind: "none" }
  /** Declined as full: answered 503 and marked as not executed. */
  | { readonly kind: "decline" }
  /** The same, with a time for which the node should send nothing more. */
  | { readonly kind: "pause"; readonly seconds: number }
  /** Run; then the connection is reset without an answer. */
  | { readonly kind: "lose_answer" }
  /** The connection is reset in the middle of the event after `events`. */
  | { readonly kind: "break"; readonly events: number }
  /** The answer ends without an error before its first event. */
  | { readonly kind: "end_without_events" }
  /** The answer ends without an error in the middle of the event after `events`. */
  | { readonly kind: "end_within_event"; readonly events: number }
  /** Nothing is sent for `ms` after `events`; then the answer goes on, sound. */
  | {
    readonly kind: "fall_silent";
    readonly events: number;
    readonly ms: number;
  }
  /** Run but never answered. */
  | { readonly kind: "hang" }
  /** The answer carries the id of another request. */
  | { readonly kind: "foreign" }
  /** The answer has no signature. */
  | { readonly kind: "unsigned" }
  /** The answer has no length; its connection is reset after `afterMs`. */
  | { readonly kind: "reset_unframed"; readonly afterMs: number }
  /** The answer has no length and ends when the connection closes. */
  | { readonly kind: "unframed" }
  /** A second answer, which no request asked for, follows the first one. */
  | { readonly kind: "extra" }
  /** Answered before the body is read; the body is read `afterMs` later. */
  | { readonly kind: "early"; readonly afterMs: number };
