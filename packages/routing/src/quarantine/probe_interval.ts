/**
 * Time between the probes of a part in quarantine.
 *
 * It follows from the times of the crashes alone, so that all nodes that know them
 * come to the same one, also after a restart: each crash that came as late as a
 * probe does makes the next probe later.
 */

import type { PartEvidence } from "./part_evidence.ts";

/** Time to the first probe of a part that never went well. */
const firstProbeMs = 60_000;
/** The same of a part that went well before, which is rarely the cause. */
const firstProbeOfSurvivorMs = 10_000;
const intervalFactor = 4;
const maxProbeMs = 1_800_000;
/** Share of an interval after which a crash counts as that of a probe. */
const probeShare = 0.9;

/** Computes the time from the last crash to the next probe, in milliseconds. */
export function computeProbeMs(
  { crashes, hasSurvived }: Pick<PartEvidence, "crashes" | "hasSurvived">,
): number {
  let intervalMs = hasSurvived ? firstProbeOfSurvivorMs : firstProbeMs;
  let previousAt = Infinity;
  for (const at of [...crashes.values()].sort((a, b) => a - b)) {
    const isProbe = at - previousAt >= intervalMs * probeShare;
    if (isProbe) intervalMs = Math.min(maxProbeMs, intervalMs * intervalFactor);
    previousAt = at;
  }
  return intervalMs;
}
