/**
 * Reads how long a caller is willing to wait.
 */

import type { IncomingMessage } from "node:http";

/** Milliseconds a caller waits, at most `limitMs`; header `x-request-timeout-ms`. */
export function readTimeout(request: IncomingMessage, limitMs: number): number {
  const header = request.headers["x-request-timeout-ms"];
  const asked = typeof header === "string" ? Number(header) : NaN;
  return Number.isFinite(asked) && asked > 0
    ? Math.min(asked, limitMs)
    : limitMs;
}
