/**
 * Asks a replica whether its process is still the one that this node knows.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Replica } from "@almondcrank/model/replica.ts";
import {
  expectedReplicaHeader,
  requestIdHeader,
} from "@almondcrank/platform/headers.ts";
import {
  formatHealthCall,
  formatReportCall,
  parseReportedStart,
} from "@almondcrank/platform/replica_report.ts";
import type { LifeAnswer } from "./connection_end.ts";
import type { ControlResponse } from "./control_call.ts";
import type { LifeQuestion } from "./life_checks.ts";
import type { ReplicaSender } from "./replica_sender.ts";

/** Time in which one question is to be answered. */
const questionTimeoutMs = 400;
const misdirectedStatus = 421;

/** What a question is sent with. */
export interface LifeQuestionServices {
  readonly sender: Pick<ReplicaSender, "callControl" | "acceptsConnection">;
  readonly clock: Clock;
}

/**
 * Asks up to three times; never rejects. A kept connection may be closed by now, and
 * a replica that does not know of reports may close a new one.
 */
export async function askLife(
  { sender, clock }: LifeQuestionServices,
  { state, healthPath }: LifeQuestion,
): Promise<LifeAnswer> {
  const questions = [
    { call: formatReportCall(), isPooled: true },
    { call: formatReportCall(), isPooled: false },
    { call: formatHealthCall(healthPath), isPooled: false },
  ];
  for (const { call, isPooled } of questions) {
    const now = clock.now();
    if (state.isPaused(now) || !state.limit.isOpen(now)) {
      // A connection on which nothing is sent is no request.
      const accepts = await sender.acceptsConnection(state, questionTimeoutMs);
      return accepts ? "accepting" : "silent";
    }
    const response = await sender.callControl(state, call, {
      timeoutMs: questionTimeoutMs,
      isPooled,
      headers: { [expectedReplicaHeader]: state.replica.id },
      // One that names a request is a late answer to that one.
      isExpected: (headers) => headers[requestIdHeader] === undefined,
    });
    if (response !== undefined) return readLifeAnswer(state.replica, response);
  }
  return "silent";
}

/** Reads what an answer, of whatever status, tells of the process that sent it. */
export function readLifeAnswer(
  { startedAtMs }: Pick<Replica, "startedAtMs">,
  { statusCode, text }: Pick<ControlResponse, "statusCode" | "text">,
): LifeAnswer {
  if (statusCode === misdirectedStatus) return "replaced";
  const reportedMs = statusCode === 200 ? parseReportedStart(text) : undefined;
  const isOther = reportedMs !== undefined && startedAtMs !== undefined &&
    reportedMs !== startedAtMs;
  return isOther ? "replaced" : "alive";
}
