/**
 * Timeout that a caller asks for.
 */

import type { IncomingMessage } from "node:http";

/**
 * Reads the header `x-request-timeout-ms`, in milliseconds.
 *
 * @returns The header's value, at most `limitMs`; `limitMs` when it is missing or
 *   not a positive number.
 */
export function readTimeout(request: IncomingMessage, limitMs: number): number {
  const header = request.headers["x-request-timeout-ms"];
  const asked = typeof header === "string" ? Number(header) : NaN;
  return Number.isFinite(asked) && asked > 0
    ? Math.min(asked, limitMs)
    : limitMs;
}
