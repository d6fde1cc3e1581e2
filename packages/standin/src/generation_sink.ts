/**
 * Sends a generation's event lines as the answer of an HTTP call.
 */

import type { ServerResponse } from "node:http";
import type { GenerationSink } from "./generation.ts";

const jsonLines = { "content-type": "application/x-ndjson" };

/** Writes events into a response; headers go out with the first of them. */
export function createResponseSink(response: ServerResponse): GenerationSink {
  const start = (): void => {
    if (!response.headersSent) response.writeHead(200, jsonLines);
  };
  return {
    write: (lines) => {
      start();
      response.write(lines);
    },
    end: (lines) => {
      if (response.destroyed) return;
      start();
      response.end(lines);
    },
    cut: (lines) => {
      if (lines === "") {
        response.destroy();
        return;
      }
      start();
      response.write(lines, () => response.destroy());
    },
  };
}
