/**
 * Records of a soak, which its checks are based on.
 *
 * Times are in milliseconds of the monotonic clock of the soak's process.
 */

import type { OrderBreak } from "./stream_order.ts";

/** Kind of a request, which determines whether it may run more than once. */
export type RequestKind = "stream" | "once" | "book" | "lookup";

/** A broken promise. */
export interface Finding {
  readonly promise: string;
  /** Id of the request, empty if the finding is not about one. */
  readonly request: string;
  readonly detail: string;
  /** What is wrong with the events of a stream, if they are. */
  readonly orderBreak?: OrderBreak | undefined;
}

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
  /** Status of the answer, 0 if there was none. */
  readonly status: number;
  /** Signature of the replica that answered. */
  readonly seal: string | undefined;
  readonly text: string;
  /** Whether the answer is complete according to its framing. */
  readonly isComplete: boolean;
  /** Time at which the caller left, undefined if it did not. */
  readonly leftAt: number | undefined;
  /** Whether the caller came back for the rest of a broken stream. */
  readonly isReturn: boolean;
  /** Parts of the prompt as sent, undefined if the request has no prompt. */
  readonly promptParts: string | undefined;
  /** The one of them that crashes replicas, undefined if none does. */
  readonly crashingPart: string | undefined;
}

/** A request as a replica ran it. */
export interface RunRecord {
  readonly replica: string;
  readonly service: string;
  readonly id: string;
  readonly path: string;
  readonly body: string;
  readonly tenant: string | undefined;
  /** Whether the replica received the caller's key. */
  readonly hasKey: boolean;
  /** Whether the run continues one of another replica. */
  readonly isMoved: boolean;
  readonly startedAt: number;
  readonly endedAt: number | undefined;
}

/** A usage report as the platform received it. */
export interface UsageRecord {
  readonly window: number;
  readonly counts: string;
  /** Node that held the duty. */
  readonly holder: string;
  /** Fencing token of the holder. */
  readonly fencingToken: number;
}

/** Crash of a replica that began to answer a request with a prompt part. */
export interface CrashRecord {
  readonly part: string;
  readonly replica: string;
  readonly at: number;
}

/** Limit of requests that a replica named for a time. */
export interface LimitRecord {
  readonly replica: string;
  /** Requests a second from all nodes together. */
  readonly perSecond: number;
  readonly from: number;
  readonly to: number;
}

/** Arrival at a replica, run or not, of a request with a prompt. */
export interface PromptArrival {
  readonly id: string;
  readonly replica: string;
  readonly at: number;
  /** Parts of the prompt as they arrived. */
  readonly promptParts: string;
}

/** Start and end of a fault. */
export interface FaultSpan {
  readonly from: number;
  readonly to: number;
  readonly name: string;
  /**
   * Whether the system must mask the fault, so that it excuses no broken
   * answer.
   */
  readonly isMasked: boolean;
  /** Node or replica that the fault hit; undefined if it hit several. */
  readonly target: string | undefined;
}

/** A withdrawn key and the time of its withdrawal. */
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
  readonly crashes: readonly CrashRecord[];
  readonly limits: readonly LimitRecord[];
  readonly promptArrivals: readonly PromptArrival[];
  /** End of the last fault, or the start of the soak if it had none. */
  readonly faultsEndAt: number;
  /** Number of events in a complete stream. */
  readonly events: number;
}
