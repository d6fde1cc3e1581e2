/**
 * Which node sends the probes of a prompt part in quarantine.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import {
  computeRendezvousOrder,
  type Hasher,
} from "@almondcrank/common/hashing.ts";
import type { MemberTable } from "./member_table.ts";

/** What the choice depends on. */
export interface ProbeOwnerInputs {
  /** Name of this node. */
  readonly node: string;
  readonly hasher: Hasher;
  readonly members: MemberTable;
  /** Clock of membership. */
  readonly clock: Clock;
}

/**
 * Whether this node sends the probes of a part. Nodes that see the same members
 * choose the same one.
 */
export function isProbeOwner(
  part: string,
  { node, hasher, members, clock }: ProbeOwnerInputs,
): boolean {
  const others = members.listAlive(clock.now())
    .filter(({ isDraining }) => !isDraining)
    .map((member) => member.node);
  return computeRendezvousOrder(hasher, part, [node, ...others])[0] === node;
}
