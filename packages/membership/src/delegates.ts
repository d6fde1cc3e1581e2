/**
 * Delegates of a data centre: the few members that talk to other data centres
 * and wait on the platform's store.
 */

import {
  computeRendezvousOrder,
  type Hasher,
} from "@almondcrank/common/hashing.ts";

/** Delegates of one data centre. */
export const delegatesPerZone = 2;

/**
 * Orders members of `zone` by their turn as delegates.
 *
 * Nodes that see the same members agree; while views differ there may be one
 * delegate more or less for a moment, which is harmless.
 */
export function computeDelegateOrder(
  hasher: Hasher,
  zone: string,
  nodes: readonly string[],
): readonly string[] {
  return computeRendezvousOrder(hasher, `delegate ${zone}`, nodes);
}
