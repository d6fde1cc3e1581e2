/**
 * What other packages see of the system's own processes.
 *
 * A member is one process incarnation of one node. It is suspected after missed
 * heartbeats and forgotten later; a suspected member gets no new work handed
 * over, and what it says is still read.
 */

import type { Address } from "@almondcrank/common/address.ts";
import type { Event } from "@almondcrank/common/emitter.ts";

/** Identity of one process of the system. */
export interface NodeIdentity {
  /** Name of the node, stable over restarts. */
  readonly node: string;
  /** Drawn anew at each start. */
  readonly incarnation: string;
  readonly zone: string;
  readonly region: string;
  readonly peerAddress: Address;
}

/** State of a member as this node sees it. */
export type MemberState = "alive" | "leaving" | "suspected";

/** Another process of the system. */
export interface Member {
  readonly identity: NodeIdentity;
  readonly state: MemberState;
  /** Highest configuration revision it is known to have in force. */
  readonly revision: number;
}

/** Demand of one team at one node, in requests and tokens a second. */
export interface TeamDemand {
  readonly team: string;
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
}

/** Load of one endpoint as its poller last read it. */
export interface EndpointLoad {
  readonly endpoint: string;
  /** Age in milliseconds when the digest left its node. */
  readonly ageMs: number;
  readonly queued: number;
  readonly running: number;
  readonly slots: number;
  readonly queuedTokens: number;
  readonly prefillTokensPerSecond: number;
  readonly betweenTokensMs: number;
  /** False when the poller could not reach it. */
  readonly reachable: boolean;
}

/** What a node tells the peers of its data centre about load and demand. */
export interface Digest {
  readonly node: string;
  readonly incarnation: string;
  readonly demand: readonly TeamDemand[];
  readonly loads: readonly EndpointLoad[];
  /** Endpoints known to be leaving, with the milliseconds left. */
  readonly leaving: readonly LeavingEndpoint[];
}

export interface LeavingEndpoint {
  readonly endpoint: string;
  readonly remainingMs: number;
}

/** View of the system's processes. */
export interface Membership {
  readonly self: NodeIdentity;
  /** Other members, suspected ones included. */
  list(): readonly Member[];
  readonly onChange: Event<Member>;
  readonly onDigest: Event<Digest>;
}
