/**
 * What a replica says of its own load in an answer.
 *
 * It is as old as the answer. It counts the requests of all nodes, but not those
 * that were sent since; the slowness of its host changes many times a second.
 */

/** Load of one replica, in its own words. */
export interface LoadStatement {
  /** Requests that it runs. */
  readonly running: number;
  /** Requests that it accepted and does not run yet. */
  readonly waiting: number;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Time that work takes on its host now, relative to usual; undefined if not stated. */
  readonly slowness: number | undefined;
}
