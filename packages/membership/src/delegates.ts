/**
 * Chooses the delegates of a data centre: the few members that exchange with
 * other data centres and watch the platform's store.
 */

import {
  computeRendezvousOrder,
  type Hasher,
} from "@almondcrank/common/hashing.ts";

/** Number of delegates of a data centre. */
export const delegatesPerZone = 2;

/**
 * Orders the members of `zone`; the first `delegatesPerZone` are its delegates.
 *
 * Nodes that see the same members agree. While their views differ, there may
 * briefly be a delegate more or less, which is harmless.
 */
export function computeDelegateOrder(
  hasher: Hasher,
  zone: string,
  nodes: readonly string[],
): readonly string[] {
  return computeRendezvousOrder(hasher, `delegate ${zone}`, nodes);
}
