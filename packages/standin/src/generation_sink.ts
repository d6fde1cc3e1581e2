/**
 * Sends the event lines of a generation as the body of an HTTP response.
 */

import type { ServerResponse } from "node:http";
import type { GenerationSink } from "./generation.ts";

const jsonLines = { "content-type": "application/x-ndjson" };

/** Creates a sink for a response; the first lines send its headers. */
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
