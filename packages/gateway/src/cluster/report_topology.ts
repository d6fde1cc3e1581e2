/**
 * Decides whom a node sends its reports to.
 *
 * In a small system each node reports to all others. In a larger one that would
 * cost every node more with each node that is added. There, two nodes of each zone
 * are relays: the nodes of a zone report to its relays, relays exchange the sums of
 * their zones, and each relay sends the sums of the system to its zone. Relays
 * follow from the member list, so they need no election, and while one is gone the
 * other one goes on.
 */

import type { Member } from "./member_table.ts";

/** Largest number of nodes where each reports to all others. */
const maxMeshNodes = 13;
/** Relays of each zone; the second one covers the loss of the first. */
const relaysPerZone = 2;

/** Interval between the reports of a node, in milliseconds. */
const shortTickMs = 200;
/** The same where a relay has many nodes to hear and to tell. */
const longTickMs = 400;
/** Number of neighbours in a zone from which on its nodes report in the long interval. */
const maxShortTickNodes = 12;

/** Place of this node. */
export interface TopologyNode {
  readonly node: string;
  readonly zone: string;
  readonly isDraining: boolean;
}

/** Receivers of a node's reports. */
export type ReportTopology =
  /** Each node reports to all others. */
  | { readonly kind: "mesh" }
  | {
    readonly kind: "zones";
    /** Whether this node is a relay of its zone. */
    readonly isRelay: boolean;
    /** The other relays of this node's zone. */
    readonly ownRelays: readonly Member[];
    /** Relays of all other zones. */
    readonly otherRelays: readonly Member[];
    /** The other nodes of this node's zone. */
    readonly neighbours: readonly Member[];
  };

/**
 * Chooses the receivers of this node's reports.
 *
 * @param known The other nodes that may be alive.
 * @param isEligible Whether a node may be chosen as a relay.
 */
export function chooseTopology(
  self: TopologyNode,
  known: readonly Member[],
  isEligible: (member: Member) => boolean,
): ReportTopology {
  if (known.length + 1 <= maxMeshNodes) return { kind: "mesh" };
  const neighbours = known.filter(({ zone }) => zone === self.zone);
  const ownRelays = chooseRelays([...neighbours.filter(isEligible), self]);
  const others = known.filter((member) =>
    member.zone !== self.zone && isEligible(member)
  );
  return {
    kind: "zones",
    isRelay: ownRelays.some(({ node }) => node === self.node),
    ownRelays: neighbours.filter((member) =>
      ownRelays.some(({ node }) => node === member.node)
    ),
    otherRelays: groupByZone(others).flatMap(chooseRelays),
    neighbours,
  };
}

/**
 * Chooses the relays among the nodes of one zone: the last by name, as the first
 * ones read the store and hold duties.
 */
function chooseRelays<T extends TopologyNode>(
  members: readonly T[],
): readonly T[] {
  return members
    .filter(({ isDraining }) => !isDraining)
    .sort((a, b) => (a.node < b.node ? 1 : -1))
    .slice(0, relaysPerZone);
}

/**
 * Chooses the nodes of its zone that a relay tells what is urgent, so that the zone's
 * relays together tell each node once.
 */
export function chooseZoneShare(
  self: string,
  { ownRelays, neighbours }: Extract<ReportTopology, { kind: "zones" }>,
): readonly Member[] {
  const relays = [self, ...ownRelays.map(({ node }) => node)].sort();
  const turn = relays.indexOf(self);
  return neighbours
    .filter(({ node }) => !relays.includes(node))
    .sort((a, b) => (a.node < b.node ? -1 : 1))
    .filter((_member, index) => index % relays.length === turn);
}

/** Chooses the interval between a node's reports, in milliseconds. */
export function chooseTickMs(topology: ReportTopology): number {
  switch (topology.kind) {
    case "mesh":
      return shortTickMs;
    case "zones":
      return topology.neighbours.length < maxShortTickNodes
        ? shortTickMs
        : longTickMs;
  }
}

function groupByZone(members: readonly Member[]): readonly Member[][] {
  const zones = new Map<string, Member[]>();
  for (const member of members) {
    const group = zones.get(member.zone);
    if (group === undefined) zones.set(member.zone, [member]);
    else group.push(member);
  }
  return [...zones.values()];
}
