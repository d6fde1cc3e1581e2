/**
 * Ends a stream that gets no whole answer: with a failure reply, or, if part of
 * the answer has been sent, by closing the caller's connection.
 */

import { abortResponse } from "@almondcrank/common/abort_response.ts";
import {
  composeFailureReply,
  type FailureReason,
  sendLocalReply,
} from "./local_reply.ts";
import type { RelayServices } from "./relay_services.ts";
import type { StreamExchange } from "./stream_segment.ts";

const defaultRetryMs = 300;

/** Why a stream ends, and what its caller is told. */
export interface StreamFailure {
  readonly reason: FailureReason;
  /** Whether some replica may have run the stream. */
  readonly mayHaveRun: boolean;
  /** Time after which to come back unless all replicas asked for a pause. */
  readonly retryMs?: number | undefined;
  /** Whether that time is the caller's own, so that it is not spread further. */
  readonly isAppointment?: boolean;
}

/** Ends the stream; returns the status sent, or 0 if the answer was cut. */
export function sendStreamFailure(
  { table, clock, random }: RelayServices,
  { request, response }: StreamExchange,
  { reason, mayHaveRun, retryMs = defaultRetryMs, isAppointment = false }:
    StreamFailure,
): number {
  if (response.headersSent) {
    abortResponse(response);
    return 0;
  }
  const resumeMs = table.computeResumeMs(request.service.name, clock.now());
  const spread = isAppointment ? 1 : 0.75 + random.next() / 2;
  const reply = composeFailureReply(reason, {
    mayHaveRun,
    retryAfterMs: resumeMs + retryMs * spread,
  });
  sendLocalReply(response, reply);
  return reply.status;
}
