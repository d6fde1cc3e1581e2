/**
 * Hands a replica's whole answer on to the caller: status, headers and body.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { listResponseHeaders } from "./message_headers.ts";

/** An answer that was read to its end. */
export interface BufferedResponse {
  readonly answer: IncomingMessage;
  readonly body: Buffer;
}

const unknownStatus = 502;
const bodylessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Sends the answer, unless its caller has left; returns its status. */
export function sendBufferedResponse(
  response: ServerResponse,
  { answer, body }: BufferedResponse,
): number {
  const status = answer.statusCode ?? unknownStatus;
  const headers = listResponseHeaders(answer);
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
