/**
 * Decides whether an answer is whole that ended with its connection.
 *
 * An answer without a length ends in the same way when it is whole and when its
 * replica's process ends. A process that has ended answers nothing that is sent
 * after the end arrived. So an answer to a later question shows that the process
 * closed this connection and went on, which it does after a whole answer.
 */

/** What a replica said when it was asked after the end of a connection. */
export type LifeAnswer =
  /** The incarnation that sent the answer is there. */
  | "alive"
  /** Another replica, or a later start of the same one, is at its address. */
  | "replaced"
  /** It answered nothing, or could not be reached. */
  | "silent"
  /**
   * Its address accepts connections. It was asked nothing, as it asked for a pause or
   * is at its limit.
   */
  | "accepting";

/** What speaks for or against an answer; also the `evidence` label of counters. */
export type EndEvidence =
  | LifeAnswer
  /** An unused connection of the same process is still open. */
  | "open_connection"
  /** The wait for the replica's word was ended: caller gone or time up. */
  | "wait_ended";

/** Whether an answer is whole, and on which evidence. */
export interface EndVerdict {
  readonly isWhole: boolean;
  readonly evidence: EndEvidence;
}

/** What is known after the end of a connection. */
export interface EndFacts {
  /** Undefined if the wait for it was ended. */
  readonly answer: LifeAnswer | undefined;
  /** Whether an unused connection to the same incarnation is open. */
  readonly hasOpenConnection: boolean;
}

/**
 * Decides whether an answer is whole.
 *
 * When a process ends, all its connections do. So where no word of the replica can
 * be had, one that is still open shows that the process is frozen or slow.
 */
export function decideEnd({ answer, hasOpenConnection }: EndFacts): EndVerdict {
  switch (answer) {
    case undefined:
      return { isWhole: false, evidence: "wait_ended" };
    case "alive":
      return { isWhole: true, evidence: answer };
    case "replaced":
      return { isWhole: false, evidence: answer };
    case "accepting":
      return { isWhole: true, evidence: answer };
    case "silent":
      return hasOpenConnection
        ? { isWhole: true, evidence: "open_connection" }
        : { isWhole: false, evidence: answer };
  }
}

/** Time between the end of a call's connection and the first question. */
const callSettleMs = 50;
/** The same for a stream, whose events don't wait for it. */
const streamSettleMs = 150;
/** The same for a replica that is leaving, before it is asked once more. */
const leavingSettleMs = 300;
/** Share of the time in which an answer is of full use that the wait may take. */
const settleShare = 0.1;

/**
 * Lists how long to wait before each question, in milliseconds.
 *
 * A process that exits may close the connections of its answers somewhat before
 * its listener. Where an exit is expected, more time is given for it.
 *
 * @param objectiveMs Time in which a call is to be answered; none for a stream,
 * all of whose events have been delivered.
 */
export function listSettleTimes(
  { objectiveMs, isLeaving }: {
    readonly objectiveMs?: number | undefined;
    readonly isLeaving: boolean;
  },
): readonly number[] {
  const firstMs = objectiveMs === undefined
    ? streamSettleMs
    : Math.min(callSettleMs, objectiveMs * settleShare);
  return isLeaving ? [firstMs, leavingSettleMs] : [firstMs];
}
