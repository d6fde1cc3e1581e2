/**
 * Parts of prompts under which replicas crash, as reports list them.
 */

import type { ToldPart } from "@almondcrank/routing/quarantine/told_part.ts";
import type { PeerReport } from "./peer_messages.ts";

/** Formats what this node tells of parts. */
export function formatSuspects(
  told: readonly ToldPart[],
): PeerReport["suspects"] {
  return told.map(({ part, survivedAgeMs, requestedAgeMs, crashes }) => [
    part,
    survivedAgeMs,
    requestedAgeMs,
    crashes.map(([incarnation, ageMs]) => [incarnation, ageMs]),
  ]);
}

/** Parses what a peer tells of parts. */
export function parseSuspects(
  suspects: PeerReport["suspects"],
): readonly ToldPart[] {
  return suspects.map(([part, survivedAgeMs, requestedAgeMs, crashes]) => ({
    part,
    survivedAgeMs,
    requestedAgeMs,
    crashes,
  }));
}
