/**
 * Forwards a buffered response of a replica to the caller.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { listResponseHeaders } from "./message_headers.ts";

/** A response of a replica that was read to its end. */
export interface BufferedResponse {
  readonly response: IncomingMessage;
  readonly body: Buffer;
}

const unknownStatus = 502;
const bodylessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Sends the response unless the caller has disconnected; returns its status. */
export function sendBufferedResponse(
  callerResponse: ServerResponse,
  { response, body }: BufferedResponse,
): number {
  const status = response.statusCode ?? unknownStatus;
  const headers = listResponseHeaders(response);
  const hasLength = response.headers["content-length"] !== undefined;
  if (!hasLength && !bodylessStatuses.has(status)) {
    headers.push("Content-Length", String(body.length));
  }
  if (!callerResponse.destroyed) {
    callerResponse.writeHead(status, headers);
    callerResponse.end(body);
  }
  return status;
}
