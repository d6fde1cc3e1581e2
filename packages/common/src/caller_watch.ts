/**
 * Tells when a caller has left before its answer was complete.
 */

import type { IncomingMessage, ServerResponse } from "node:http";

/**
 * Returns a signal that aborts when the caller closes its connection before the
 * end of the response, also if it closes only its own direction: Node.js closes
 * the other one some turns of the loop later.
 */
export function watchCaller(
  { socket }: IncomingMessage,
  response: ServerResponse,
): AbortSignal {
  const aborter = new AbortController();
  const leave = (): void => {
    if (!response.writableFinished) aborter.abort();
  };
  if (socket.destroyed || socket.readableEnded) leave();
  socket.once("end", leave);
  response.once("close", () => {
    socket.off("end", leave);
    leave();
  });
  return aborter.signal;
}
