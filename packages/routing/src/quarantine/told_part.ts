/**
 * What nodes tell each other of parts of prompts under which replicas crash.
 */

import type { PartEvidence } from "./part_evidence.ts";

/** Crashes told of one part; the latest ones. */
const maxToldCrashes = 12;

/**
 * What a node tells of one part. Ages are in milliseconds, as nodes have no common
 * clock; null if there was no such event.
 */
export interface ToldPart {
  readonly part: string;
  /** Age of the start of the last run that went well. */
  readonly survivedAgeMs: number | null;
  /** Age of the last request that came during the quarantine. */
  readonly requestedAgeMs: number | null;
  /** Incarnations that crashed since then, each with the age of its crash. */
  readonly crashes: readonly (readonly [string, number])[];
}

/** Composes what is told of one part. */
export function composeToldPart(
  part: string,
  { crashes, survivedAt, requestedAt }: PartEvidence,
  now: number,
): ToldPart {
  const latest = [...crashes]
    .sort(([, a], [, b]) => b - a)
    .slice(0, maxToldCrashes)
    .map(([incarnation, at]) => [incarnation, Math.round(now - at)] as const);
  return {
    part,
    survivedAgeMs: computeAge(survivedAt, now),
    requestedAgeMs: computeAge(requestedAt, now),
    crashes: latest,
  };
}

function computeAge(at: number, now: number): number | null {
  return at === -Infinity ? null : Math.max(0, Math.round(now - at));
}
