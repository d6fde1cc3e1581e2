/**
 * Lists of living nodes, as relays report them.
 */

import type { Member } from "./member_table.ts";
import type { AliveMember } from "./peer_messages.ts";

/** Composes the list of nodes that a relay has heard of. */
export function composeAlive(
  members: readonly Member[],
  now: number,
): AliveMember[] {
  return members.map((member) => ({
    node: member.node,
    ageMs: Math.round(now - member.lastSeenAt),
    ...(member.isDraining ? { isDraining: true } : {}),
    ...(member.isStoreUnreachable ? { isStoreUnreachable: true } : {}),
    ...(member.fencingToken === undefined ? {} : { duty: member.fencingToken }),
  }));
}
