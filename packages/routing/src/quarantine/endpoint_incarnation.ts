/**
 * Names of the incarnations of endpoints, which do not tell theirs.
 */

import type { Clock } from "@almondcrank/common/clock.ts";

/**
 * Time in which losses at one endpoint are those of one crash. Nodes that lose
 * requests of the endpoint together have to name the same incarnation; it is shorter
 * than a restart.
 */
const crashSpanMs = 2_000;

/** Formats the name of the incarnation that a crash has ended just now. */
export function formatCrashedIncarnation(
  endpoint: string,
  clock: Pick<Clock, "wallTime">,
): string {
  return `${endpoint}@${Math.floor(clock.wallTime() / crashSpanMs)}`;
}
