/**
 * Hands a replica's whole answer on to the caller: status, headers and body.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { listAnswerHeaders } from "./message_headers.ts";

/** An answer that was read to its end. */
export interface WholeAnswer {
  readonly answer: IncomingMessage;
  readonly body: Buffer;
}

const unknownStatus = 502;
const bodylessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Sends the answer, unless its caller has left; returns its status. */
export function sendReplicaAnswer(
  response: ServerResponse,
  { answer, body }: WholeAnswer,
): number {
  const status = answer.statusCode ?? unknownStatus;
  const headers = listAnswerHeaders(answer);
  const hasLength = answer.headers["content-length"] !== undefined;
  if (!hasLength && !bodylessStatuses.has(status)) {
    headers.push("Content-Length", String(body.length));
  }
  if (!response.destroyed) {
    response.writeHead(status, headers);
    response.end(body);
  }
  return status;
}
