/**
 * Token bucket of one tenant at one node.
 */

import { PriorityShares } from "@almondcrank/routing/limits/priority_shares.ts";
import { UnheardUse } from "@almondcrank/routing/limits/unheard_use.ts";
import { PeerUse } from "./peer_use.ts";

/** Bucket of one tenant. Amounts are in the tenant's unit. */
export interface Bucket {
  /** Amount left; below 0 when more was admitted. */
  level: number;
  /** Whether the level of a longer-running peer was adopted. */
  isLevelAdopted: boolean;
  /** Refill per second of the whole system, with what is exceeded on purpose. */
  rate: number;
  /** The same, without. */
  plainRate: number;
  burst: number;
  updatedAt: number;
  /** Cost of refused requests that are expected to retry, less the refill. */
  pendingRetryCost: number;
  /** Sum of this node's admissions since it started. */
  admitted: number;
  /** Part of `admitted` that the peers know. */
  reported: number;
  /** Sum of what was refused, what was refunded, and what peers admitted. */
  refused: number;
  refunded: number;
  heard: number;
  /** Share of the allowance that this node and the peers it hears from may use. */
  share: number;
  /** Amount left to the nodes that this one does not hear, if they use nothing. */
  withheld: number;
  /** This node's share of the level. */
  creditShare: number;
  /** Cost that this node may still admit before the next report. */
  credit: number;
  /** Cost that all nodes admit in a millisecond, as far as it was heard of. */
  heardPerMs: number;
  /** The same, raised where this node has not run long enough to know. */
  assumedPerMs: number;
  readonly unheard: UnheardUse;
  readonly priorities: PriorityShares;
  /** Recent cost that this node and its peers reported. */
  readonly use: PeerUse;
}

/** Creates a bucket of a tenant that this node has not met. */
export function createBucket(
  { rate, burst, startShare }: {
    readonly rate: number;
    readonly burst: number;
    readonly startShare: number;
  },
  now: number,
): Bucket {
  return {
    level: burst * startShare,
    isLevelAdopted: false,
    rate,
    plainRate: rate,
    burst,
    updatedAt: now,
    pendingRetryCost: 0,
    admitted: 0,
    reported: 0,
    refused: 0,
    refunded: 0,
    heard: 0,
    share: 1,
    withheld: 0,
    creditShare: 1,
    credit: 0,
    heardPerMs: 0,
    assumedPerMs: startShare >= 1 ? 0 : rate / 1_000,
    unheard: UnheardUse.create(now),
    priorities: PriorityShares.create(),
    use: PeerUse.create(),
  };
}
