/**
 * Ends a response that has begun and will not be completed.
 */

import type { ServerResponse } from "node:http";

/** Closes a response's connection so that the response does not look whole. */
export function abortResponse(response: ServerResponse): void {
  if (response.chunkedEncoding) {
    response.destroy();
    return;
  }
  // Without chunks, a regular end of the connection is the end of the body.
  response.socket?.resetAndDestroy();
}
