/**
 * Token bucket of one tenant at one node.
 */

import { DecayingValue } from "@almondcrank/common/decaying_value.ts";
import { PriorityShares } from "@almondcrank/routing/limits/priority_shares.ts";
import { UnheardUse } from "@almondcrank/routing/limits/unheard_use.ts";

/** Time in which recent use decays to 1/e. */
export const useDecayMs = 8_000;

/** Bucket of one tenant. Amounts are in the tenant's unit. */
export interface Bucket {
  /** Amount left; below 0 when more was admitted. */
  level: number;
  /** Whether the level of a longer-running peer was adopted. */
  isLevelAdopted: boolean;
  /** Refill per second of the whole system. */
  rate: number;
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
  /** Recent cost that this node admitted and reported. */
  readonly ownUse: DecayingValue;
  /** Recent cost that each peer reported, by the peer's name. */
  readonly peerUse: Map<string, DecayingValue>;
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
    burst,
    updatedAt: now,
    pendingRetryCost: 0,
    admitted: 0,
    reported: 0,
    refused: 0,
    refunded: 0,
    heard: 0,
    share: 1,
    creditShare: 1,
    credit: 0,
    heardPerMs: 0,
    assumedPerMs: startShare >= 1 ? 0 : rate / 1_000,
    unheard: UnheardUse.create(now),
    priorities: PriorityShares.create(),
    ownUse: DecayingValue.create(useDecayMs),
    peerUse: new Map(),
  };
}
