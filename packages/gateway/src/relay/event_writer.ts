/**
 * Writes events to a caller with one buffer for each write.
 *
 * Node.js frames a chunk in four buffers, which the socket then gathers. Events
 * are small and many, so this takes longer than all other steps of their relay.
 * Here the chunk is framed in one buffer. Writes of one callback still leave
 * together, since Node.js corks the socket until then.
 */

import type { ServerResponse } from "node:http";

const lineEnd = "\r\n";
const hexRadix = 16;

/**
 * Writes to a response whose head has been written; returns false if the caller
 * does not keep up, as `ServerResponse.write` does.
 */
export function writeEvents(response: ServerResponse, bytes: Buffer): boolean {
  // A chunk without bytes would be the end of the body.
  if (!response.chunkedEncoding || bytes.length === 0) {
    return response.write(bytes);
  }
  // Only this write is framed here: an end of the response is not.
  response.chunkedEncoding = false;
  try {
    return response.write(encodeChunk(bytes));
  } finally {
    response.chunkedEncoding = true;
  }
}

/** Encodes bytes as one chunk of a chunked body. */
function encodeChunk(bytes: Buffer): Buffer {
  const head = bytes.length.toString(hexRadix) + lineEnd;
  const frame = Buffer.allocUnsafe(
    head.length + bytes.length + lineEnd.length,
  );
  frame.write(head, 0, "latin1");
  bytes.copy(frame, head.length);
  frame.write(lineEnd, head.length + bytes.length, "latin1");
  return frame;
}
