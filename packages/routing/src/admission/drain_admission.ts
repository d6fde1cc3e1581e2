/**
 * Decides whether a node that drains still takes a request.
 *
 * Until its load balancer has noticed, requests keep coming. One that may run once
 * only and does not end in the time that the node has left would be cut off at the
 * end with no answer, and nobody may repeat it. Refused at once, as not run, it is
 * served by another node.
 */

/** What the decision depends on. */
export interface DrainInputs {
  /** Time until the node ends, in milliseconds. */
  readonly leftMs: number;
  /** Time until the request's deadline, in milliseconds. */
  readonly limitMs: number;
  /** Whether the request may run again elsewhere. */
  readonly mayRepeat: boolean;
}

/** Decides whether to take a request during a drain. */
export function isTakenDuringDrain(
  { leftMs, limitMs, mayRepeat }: DrainInputs,
): boolean {
  return mayRepeat || limitMs <= leftMs;
}
