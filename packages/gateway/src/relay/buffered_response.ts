/**
 * Forwards a buffered response of a replica to the caller.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { abortResponse } from "@almondcrank/common/abort_response.ts";
import type { WholeBody } from "./response_body.ts";
import { listResponseHeaders, removeHeader } from "./message_headers.ts";

/** A response of a replica that was read to its end. */
export interface BufferedResponse extends WholeBody {
  readonly response: IncomingMessage;
}

const unknownStatus = 502;
/** A 304 states the length of a body that it does not have; a 204 has none. */
const notModifiedStatus = 304;
const noContentStatus = 204;

/**
 * Sends the response unless the caller has disconnected; returns its status. One that
 * the caller doesn't read is cut off if others need its memory.
 */
export function sendBufferedResponse(
  callerResponse: ServerResponse,
  { response, body, share }: BufferedResponse,
): number {
  const status = response.statusCode ?? unknownStatus;
  const headers = composeHeaders(response, body);
  if (callerResponse.destroyed) {
    share.release();
    return status;
  }
  share.deliver(() => abortResponse(callerResponse));
  callerResponse.once("close", () => share.release());
  callerResponse.writeHead(status, headers);
  callerResponse.end(body);
  return status;
}

function composeHeaders(response: IncomingMessage, body: Buffer): string[] {
  const headers = listResponseHeaders(response);
  switch (response.statusCode) {
    case noContentStatus:
      // A caller would wait for the body that a length announces.
      return removeHeader(headers, "content-length");
    case notModifiedStatus:
      return headers;
  }
  const hasLength = response.headers["content-length"] !== undefined;
  return hasLength
    ? headers
    : [...headers, "Content-Length", String(body.length)];
}
