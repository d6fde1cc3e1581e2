/**
 * Types of membership that other packages use.
 *
 * A member is one incarnation of a node. It is suspected after missed
 * heartbeats and removed later. A suspected member is handed no new work, but
 * its messages are still handled.
 */

import type { Address } from "@almondcrank/common/address.ts";
import type { Event } from "@almondcrank/common/emitter.ts";

/** Identity of one process of a node. */
export interface NodeIdentity {
  /** Name of the node, stable over restarts. */
  readonly node: string;
  /** New at each start. */
  readonly incarnation: string;
  readonly zone: string;
  readonly region: string;
  readonly peerAddress: Address;
}

/** State of a member as seen from this node. */
export type MemberState = "alive" | "leaving" | "suspected";

/** Another node's process. */
export interface Member {
  readonly identity: NodeIdentity;
  readonly state: MemberState;
  /** Highest configuration revision that it is known to have in force. */
  readonly revision: number;
}

/** Demand of one team at one node, in requests and tokens per second. */
export interface TeamDemand {
  readonly team: string;
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
}

/** Load of one endpoint as a poller last read it. */
export interface EndpointLoad {
  readonly endpoint: string;
  /** Age of the reading in milliseconds when it was last sent or listed. */
  readonly ageMs: number;
  readonly queued: number;
  readonly running: number;
  readonly slots: number;
  readonly queuedTokens: number;
  readonly prefillTokensPerSecond: number;
  readonly betweenTokensMs: number;
  /** False when the poller could not reach the endpoint. */
  readonly reachable: boolean;
  /** Requests a second for all nodes together; left out if it states no limit. */
  readonly requestsPerSecond?: number | undefined;
}

/** New loads and the demand in a gossip record received from a node. */
export interface NodeReport {
  readonly node: string;
  readonly incarnation: string;
  readonly demand: readonly TeamDemand[];
  readonly loads: readonly EndpointLoad[];
  /** Endpoints that the receiving node knows to be leaving. */
  readonly leaving: readonly LeavingEndpoint[];
}

/** An endpoint that is leaving, such as one whose host is reclaimed. */
export interface LeavingEndpoint {
  readonly endpoint: string;
  /** Time until its end in milliseconds; negative after it. */
  readonly remainingMs: number;
}

/** The system's nodes as one node sees them. */
export interface Membership {
  readonly self: NodeIdentity;
  /** Lists all other members, suspected ones included. */
  list(): readonly Member[];
  readonly onChange: Event<Member>;
  readonly onNodeReport: Event<NodeReport>;
}
