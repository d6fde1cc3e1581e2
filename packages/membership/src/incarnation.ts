/**
 * Incarnations: identifiers of processes that sort by start time.
 *
 * A node keeps no state over a restart, so the order comes from wall time. The
 * random part tells apart processes of a node that start at the same time.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Random } from "@almondcrank/common/random.ts";

const timeDigits = 9;
const randomDigits = 5;
const radix = 36;

/** Creates the incarnation of a process that starts now. */
export function createIncarnation(clock: Clock, random: Random): string {
  const time = Math.floor(clock.wallTime()).toString(radix);
  const suffix = random.nextInt(radix ** randomDigits).toString(radix);
  return time.padStart(timeDigits, "0") + suffix.padStart(randomDigits, "0");
}

/** Whether `a` started after `b`. */
export function isNewerIncarnation(a: string, b: string): boolean {
  return a > b;
}
