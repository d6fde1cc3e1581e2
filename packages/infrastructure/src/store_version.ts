/**
 * Versions of the object API's objects.
 *
 * The store numbers its changes with revisions. When it comes back from an older
 * copy, its era rises by one and revisions are given out again, so a revision
 * alone does not order changes. A version therefore combines era and revision in
 * one integer: versions of a later era are higher than all of an earlier one.
 */

/** Revisions that one era can hold; era and revision fit a safe integer. */
const revisionsPerEra = 2 ** 32;

/** Position in the history of the store. */
export interface StorePosition {
  /** Number of restores; 0 for a store that does not state it. */
  readonly era: number;
  readonly revision: number;
}

/** Composes the version of a position. */
export function composeStoreVersion({ era, revision }: StorePosition): number {
  return era * revisionsPerEra + revision;
}

/** Reads the era of a version. */
export function readStoreEra(version: number): number {
  return Math.floor(version / revisionsPerEra);
}

/** Reads the revision of a version, as the store knows it. */
export function readStoreRevision(version: number): number {
  return version % revisionsPerEra;
}

/** Formats a version for people, as `ERA.REVISION`. */
export function formatStoreVersion(version: number): string {
  return `${readStoreEra(version)}.${readStoreRevision(version)}`;
}
