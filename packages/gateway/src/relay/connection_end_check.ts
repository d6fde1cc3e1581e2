/**
 * Checks whether an answer is whole that ended with its connection: asks its replica,
 * and records the verdict.
 */

import type { ReplicaState } from "../choice/replica_state.ts";
import {
  decideEnd,
  type EndVerdict,
  listSettleTimes,
} from "./connection_end.ts";
import type { RelayOutcome } from "./event_relay.ts";
import type { RelayServices } from "./relay_services.ts";
import type { RoutedRequest } from "./routed_request.ts";
import type { SegmentMove } from "./segment_move.ts";
import type { ProgressWatch } from "./stall_detector.ts";

/** An answer whose connection has ended it. */
export interface EndedAnswer {
  readonly request: RoutedRequest;
  readonly state: ReplicaState;
  /** What it is; also a label of counters. */
  readonly kind: "stream" | "call" | "failure";
  /** Events of the whole stream that have arrived, in groups; 0 for others. */
  readonly events: number;
  /** Ends the check. */
  readonly signal: AbortSignal;
}

/** Returns whether the answer is whole. */
export async function checkConnectionEnd(
  services: RelayServices,
  answer: EndedAnswer,
): Promise<boolean> {
  const { clock, metrics } = services;
  const { request, state, kind, events } = answer;
  const endedAt = clock.now();
  const { isWhole, evidence } = await findVerdict(services, answer);
  const waitedMs = clock.now() - endedAt;
  const verdict = isWhole ? "whole" : "unproven";
  metrics.count("connection_ends_total", { kind, verdict, evidence });
  metrics.recordDuration("connection_end_check_seconds", waitedMs, { kind });
  request.trace.record("an answer ended with its connection.", {
    replica: state.replica.id,
    kind,
    events,
    verdict,
    evidence,
    isLeaving: isLeaving(services, state),
    waitedMs: Math.round(waitedMs),
  });
  return isWhole;
}

async function findVerdict(
  services: RelayServices,
  { request, state, kind, signal }: EndedAnswer,
): Promise<EndVerdict> {
  const { lifeChecks, sender } = services;
  const { healthPath } = request.service;
  const objectiveMs = kind === "call" ? request.route.objectiveMs : undefined;
  let asked = 0;
  while (true) {
    const settleTimes = listSettleTimes({
      objectiveMs,
      isLeaving: isLeaving(services, state),
    });
    const answer = await lifeChecks.check({
      state,
      healthPath,
      settleMs: settleTimes[asked] ?? 0,
      signal,
    });
    asked += 1;
    const hasOpenConnection = sender.hasIdleConnection(state);
    const verdict = decideEnd({ answer, hasOpenConnection });
    const isLast = asked >= settleTimes.length;
    if (isLast || verdict.evidence !== "alive") return verdict;
  }
}

/** Whether a replica's exit is expected. */
function isLeaving({ table }: RelayServices, state: ReplicaState): boolean {
  return state.isDraining || state.leavesAt !== undefined ||
    table.find(state.key) === undefined;
}

/** What the end of a stream's segment depends on. */
export interface StreamEndOptions {
  readonly move: SegmentMove;
  /** Paused, as no further event is due. */
  readonly standby: ProgressWatch;
  /** Checks the end of the connection. */
  readonly check: () => Promise<boolean>;
}

/** Checks whether a stream is whole, if it ended with its connection. */
export async function checkStreamEnd(
  outcome: RelayOutcome,
  { move, standby, check }: StreamEndOptions,
): Promise<RelayOutcome> {
  const { end, framing } = outcome;
  if (end !== "complete" || framing !== "connection") return outcome;
  standby.pause();
  // A run that was moved away ends its connection like a whole stream.
  const hasStayed = async (): Promise<boolean> =>
    (await move.wait()).kind === "not_moved";
  const isWhole = await hasStayed() && await check() && await hasStayed();
  return isWhole ? outcome : { ...outcome, end: "unproven" };
}
