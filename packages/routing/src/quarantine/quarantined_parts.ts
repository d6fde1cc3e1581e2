/**
 * Decides which parts of prompts crash replicas.
 *
 * A replica runs many requests at once, so that a crash speaks against the parts of
 * all of them. Parts are judged in the order of their crashes, and a crash that a
 * quarantined part explains is not counted against those after it.
 */

import { type PartEvidence, quarantineCrashes } from "./part_evidence.ts";

/**
 * Time for which a part that has gone well before is not judged after its crashes,
 * so that news of runs that go well elsewhere arrive.
 */
const settleMs = 1_500;

/** Chooses the quarantined parts among those with evidence. */
export function chooseQuarantinedParts(
  evidence: ReadonlyMap<string, PartEvidence>,
  now: number,
): ReadonlySet<string> {
  const candidates = listCandidates(evidence, now)
    .sort(([, a], [, b]) => compareSuspicion(a, b));
  const quarantined = new Set<string>();
  const explained = new Set<string>();
  let at = 0;
  while (at < candidates.length) {
    const level = readLevel(candidates, at);
    at += level.length;
    const found = level.filter(([, { crashes }]) =>
      countUnexplained(crashes, explained) >= quarantineCrashes
    );
    for (const [part, { crashes }] of found) {
      quarantined.add(part);
      for (const incarnation of crashes.keys()) explained.add(incarnation);
    }
  }
  return quarantined;
}

/**
 * Whether a request tells a part in quarantine from another one that was there at
 * all its crashes: it has the one and lacks the other, which may be their cause.
 */
export function isTellingApart(
  part: string,
  parts: readonly string[],
  evidence: ReadonlyMap<string, PartEvidence>,
): boolean {
  const crashes = [...evidence.get(part)?.crashes.keys() ?? []];
  for (const [other, { crashes: otherCrashes }] of evidence) {
    if (otherCrashes.size < crashes.length || parts.includes(other)) continue;
    if (crashes.every((key) => otherCrashes.has(key))) return true;
  }
  return false;
}

function listCandidates(
  evidence: ReadonlyMap<string, PartEvidence>,
  now: number,
): [string, PartEvidence][] {
  const candidates: [string, PartEvidence][] = [];
  for (const [part, entry] of evidence) {
    if (isCandidate(entry, now)) candidates.push([part, entry]);
  }
  return candidates;
}

/** Whether there are enough crashes to judge a part now. */
function isCandidate(entry: PartEvidence, now: number): boolean {
  if (entry.crashes.size < quarantineCrashes) return false;
  if (!entry.hasSurvived) return true;
  return now - entry.decisiveCrashAt >= settleMs;
}

/** Most crashes first; of equal ones, those that went well longest ago or never. */
function compareSuspicion(a: PartEvidence, b: PartEvidence): number {
  if (a.crashes.size !== b.crashes.size) return b.crashes.size - a.crashes.size;
  if (a.survivedAt === b.survivedAt) return 0;
  return a.survivedAt < b.survivedAt ? -1 : 1;
}

/** Candidates from `start` on against which equally much speaks. */
function readLevel(
  candidates: readonly (readonly [string, PartEvidence])[],
  start: number,
): readonly (readonly [string, PartEvidence])[] {
  const [, first] = candidates[start] ?? [];
  if (first === undefined) return [];
  const end = candidates.findIndex(([, entry], at) =>
    at > start && compareSuspicion(first, entry) !== 0
  );
  return candidates.slice(start, end < 0 ? undefined : end);
}

function countUnexplained(
  crashes: ReadonlyMap<string, number>,
  explained: ReadonlySet<string>,
): number {
  return [...crashes.keys()].filter((key) => !explained.has(key)).length;
}
