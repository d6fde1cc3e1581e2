/**
 * What a node has of another's record, as one short string of a message:
 * the end of the incarnation, the version, and the age of the last heartbeat.
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

export function encodeSeen(seen: SeenVersion): string {
  const age = Math.ceil(seen.ageMs / ageUnitMs);
  return `${createTag(seen.incarnation)}${seen.version}.${age}`;
}

/** Version that a peer has of this incarnation, -1 for none or another. */
export function findSeenVersion(
  seen: string | undefined,
  incarnation: string,
): number {
  return parseSeen(seen, incarnation)?.version ?? -1;
}

/** Parses what a peer has; undefined for none or another incarnation. */
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
