/**
 * Encodes which version of another node's record a node holds as one short
 * string: the end of the incarnation, the version, and the heartbeat's age.
 */

const tagLength = 4;
const ageUnitMs = 100;

/** Version and age of a record. */
export interface SeenVersion {
  readonly incarnation: string;
  readonly version: number;
  /** Time since the node was last heard, in milliseconds. */
  readonly ageMs: number;
}

/** Encodes a version. The age is rounded up to a multiple of 100 ms. */
export function encodeSeen(seen: SeenVersion): string {
  const age = Math.ceil(seen.ageMs / ageUnitMs);
  return `${createTag(seen.incarnation)}${seen.version}.${age}`;
}

/** Finds the version that a peer has of `incarnation`; -1 for none. */
export function findSeenVersion(
  seen: string | undefined,
  incarnation: string,
): number {
  return parseSeen(seen, incarnation)?.version ?? -1;
}

/** Parses an encoded version; undefined for none or another incarnation. */
export function parseSeen(
  seen: string | undefined,
  incarnation: string,
): SeenVersion | undefined {
  if (seen?.startsWith(createTag(incarnation)) !== true) return undefined;
  const [version, age] = seen.slice(tagLength).split(".").map(Number);
  if (version === undefined || age === undefined) return undefined;
  return { incarnation, version, ageMs: age * ageUnitMs };
}

function createTag(incarnation: string): string {
  return incarnation.slice(-tagLength);
}
