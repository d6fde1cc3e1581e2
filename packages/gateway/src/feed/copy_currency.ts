/**
 * Decides whether a node's copy of the registrations may be taken for the present
 * state of the store.
 *
 * A node that stood still or is cut off does not see replicas that join meanwhile.
 * During an outage of the store no copy is confirmed, but then nobody joins unseen:
 * what some nodes still read, they tell the others.
 */

/**
 * Age up to which a copy is current that a node confirms by its own reads: two waits
 * of a watch, and their answers.
 */
const currentMs = 2_000;
/** Share of the known nodes that a node hears which is not cut off. */
const heardShare = 0.5;

/** What the decision depends on. */
export interface CopyCurrency {
  /** Time since the copy last matched the store, in milliseconds. */
  readonly ageMs: number;
  /** Other nodes that this one knows to run, or that ran a short time ago. */
  readonly known: number;
  /** Those of them that it hears now. */
  readonly heard: number;
}

/** Decides whether a copy is current. */
export function isCopyCurrent({ ageMs, known, heard }: CopyCurrency): boolean {
  if (ageMs < currentMs) return true;
  return heard >= known * heardShare;
}
