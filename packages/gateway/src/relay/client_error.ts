/**
 * Answers what a caller's connection brought that is not a request.
 */

import type { Socket } from "node:net";

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
  const status = error.code === "HPE_HEADER_OVERFLOW"
    ? "431 Request Header Fields Too Large"
    : error.code === "ERR_HTTP_REQUEST_TIMEOUT"
    ? "408 Request Timeout"
    : "400 Bad Request";
  connection.end(
    `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
  );
}
