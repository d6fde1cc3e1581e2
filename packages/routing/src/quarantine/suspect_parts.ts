/**
 * What of a request may crash replicas: parts that other requests share, and what is
 * its own and comes again only when the request does.
 */

/** Parts of one request, by which it is known to the quarantine. */
export interface SuspectParts {
  /** Parts of its prompt that other requests have too. */
  readonly shared: readonly string[];
  /** Its last part, and its fingerprint. */
  readonly own: readonly string[];
}

/** Lists all parts. */
export function listParts({ shared, own }: SuspectParts): readonly string[] {
  return [...shared, ...own];
}
