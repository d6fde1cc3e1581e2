/**
 * Incarnations: identities of processes that sort by their time of start.
 *
 * A node keeps nothing over a restart, so the order comes from wall time. Two
 * processes of one node are told apart by the random part.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Random } from "@almondcrank/common/random.ts";

const timeDigits = 9;
const randomDigits = 5;
const radix = 36;

/** Draws the incarnation of a process that starts now. */
export function createIncarnation(clock: Clock, random: Random): string {
  const time = Math.floor(clock.wallTime()).toString(radix);
  const tail = random.nextInt(radix ** randomDigits).toString(radix);
  return time.padStart(timeDigits, "0") + tail.padStart(randomDigits, "0");
}

/** Whether `a` started after `b`. */
export function isNewerIncarnation(a: string, b: string): boolean {
  return a > b;
}
