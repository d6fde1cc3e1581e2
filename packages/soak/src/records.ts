/**
 * What callers and replicas saw in a soak; all that its checks go by.
 *
 * Times are monotonic milliseconds of the soak's own process.
 */

/** Kind of a request; decides what may be repeated. */
export type RequestKind = "stream" | "once" | "book" | "lookup";

/** A request as its caller saw it. */
export interface CallerRecord {
  readonly id: string;
  readonly kind: RequestKind;
  readonly path: string;
  readonly body: string;
  readonly key: string;
  readonly node: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** 0 when no answer came. */
  readonly status: number;
  /** Signature of the replica that answered. */
  readonly seal: string | undefined;
  readonly text: string;
  /** Whether the answer ended as its framing says. */
  readonly isWhole: boolean;
  /** Time at which the caller closed the connection by itself. */
  readonly leftAt: number | undefined;
}

/** A request as a replica ran it. */
export interface RunRecord {
  readonly replica: string;
  readonly service: string;
  readonly id: string;
  readonly path: string;
  readonly body: string;
  readonly tenant: string | undefined;
  readonly hasKey: boolean;
  readonly isMoved: boolean;
  readonly startedAt: number;
  readonly endedAt: number | undefined;
}

/** A usage report as the platform got it. */
export interface UsageRecord {
  readonly window: number;
  readonly counts: string;
  readonly holder: string;
  readonly fencing: number;
}

/** Time in which something was wrong. */
export interface FaultSpan {
  readonly from: number;
  readonly to: number;
  readonly name: string;
  /** Planned work excuses no broken answer. */
  readonly isMasked: boolean;
}

/** A key that was taken away. */
export interface KeyWithdrawal {
  readonly key: string;
  readonly at: number;
}

/** Everything one soak recorded. */
export interface SoakRecords {
  readonly callers: readonly CallerRecord[];
  readonly runs: readonly RunRecord[];
  readonly usage: readonly UsageRecord[];
  readonly faults: readonly FaultSpan[];
  readonly withdrawals: readonly KeyWithdrawal[];
  /** End of the last fault; what is sent later must be served. */
  readonly faultsEndAt: number;
  /** Events of a whole stream. */
  readonly events: number;
}
