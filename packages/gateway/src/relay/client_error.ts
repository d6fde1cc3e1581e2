/**
 * Answers what a caller's connection brought that is not a request.
 */

import type { Socket } from "node:net";
import { endWithText } from "@almondcrank/common/ending_connections.ts";

/** Answers malformed, overlong or late headers and closes the connection. */
export function handleClientError(
  error: NodeJS.ErrnoException,
  socket: unknown,
): void {
  const connection = socket as Socket;
  if (!connection.writable || error.code === "ECONNRESET") {
    connection.destroy();
    return;
  }
  endWithText(connection, composeReply(error.code));
}

function composeReply(code: string | undefined): string {
  switch (code) {
    case "HPE_HEADER_OVERFLOW":
      return formatBareReply(431, "Request Header Fields Too Large");
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return formatBareReply(408, "Request Timeout");
    default:
      return formatBareReply(400, "Bad Request");
  }
}

/** Formats a reply without a body, after which the connection closes. */
export function formatBareReply(
  status: number,
  reason: string,
  retryAfterMs?: number,
): string {
  const retry = retryAfterMs === undefined
    ? ""
    : `Retry-After: ${(retryAfterMs / 1_000).toFixed(2)}\r\n`;
  return `HTTP/1.1 ${status} ${reason}\r\n${retry}Connection: close\r\nContent-Length: 0\r\n\r\n`;
}
