/**
 * Headers of requests and answers on their way through.
 *
 * Headers that concern one connection are left out, as are those that only the
 * system may set. All others pass unchanged, in their order.
 */

import type { IncomingMessage } from "node:http";
import {
  expectedReplicaHeader,
  lastEventIdHeader,
  movedRunHeader,
  priorityHeader,
  remainingTimeHeader,
  reservedRequestHeaders,
  tenantHeader,
} from "@almondcrank/platform/headers.ts";

const connectionHeaders: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Headers that the system sets on a request. */
export interface SystemHeaders {
  readonly replicaId: string;
  readonly remainingMs: number;
  readonly priority: number;
  readonly tenant: string | undefined;
  /** Id after which a stream goes on; undefined leaves the caller's. */
  readonly resumeAfter?: number;
  /** Source and handle of a moved run. */
  readonly movedRun?: string;
}

/** Headers of a request that pass to every replica, without the system's own. */
export function listForwardedHeaders(
  request: IncomingMessage,
  bodyBytes: number,
): readonly string[] {
  const listed = listConnectionTokens(request.headers.connection);
  const headers: string[] = [];
  let hasLength = false;
  const { rawHeaders } = request;
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    const name = rawHeaders[at] as string;
    const key = name.toLowerCase();
    if (connectionHeaders.has(key) || reservedRequestHeaders.has(key)) continue;
    if (key === "expect" || listed.has(key)) continue;
    if (key === "content-length") hasLength = true;
    headers.push(name, rawHeaders[at + 1] as string);
  }
  if (!hasLength && bodyBytes > 0) {
    headers.push("Content-Length", String(bodyBytes));
  }
  return headers;
}

/** Adds the system's headers for one send. */
export function composeRequestHeaders(
  forwarded: readonly string[],
  system: SystemHeaders,
): readonly string[] {
  const headers = system.resumeAfter === undefined
    ? [...forwarded]
    : removeHeader(forwarded, lastEventIdHeader);
  headers.push(remainingTimeHeader, String(Math.floor(system.remainingMs)));
  headers.push(expectedReplicaHeader, system.replicaId);
  headers.push(priorityHeader, String(system.priority));
  if (system.tenant !== undefined) headers.push(tenantHeader, system.tenant);
  if (system.resumeAfter !== undefined) {
    headers.push(lastEventIdHeader, String(system.resumeAfter));
  }
  if (system.movedRun !== undefined) {
    headers.push(movedRunHeader, system.movedRun);
  }
  headers.push("Connection", "keep-alive");
  return headers;
}

/** Headers of an answer that pass to the caller. */
export function listResponseHeaders(answer: IncomingMessage): string[] {
  const listed = listConnectionTokens(answer.headers.connection);
  const headers: string[] = [];
  const { rawHeaders } = answer;
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    const name = rawHeaders[at] as string;
    const key = name.toLowerCase();
    if (connectionHeaders.has(key) || listed.has(key)) continue;
    headers.push(name, rawHeaders[at + 1] as string);
  }
  return headers;
}

/** Names that a Connection header declares to concern this connection only. */
function listConnectionTokens(
  header: string | undefined,
): ReadonlySet<string> {
  if (header === undefined) return new Set();
  return new Set(
    header.split(",").map((token) => token.trim().toLowerCase()),
  );
}

function removeHeader(headers: readonly string[], name: string): string[] {
  const kept: string[] = [];
  for (let at = 0; at + 1 < headers.length; at += 2) {
    if ((headers[at] as string).toLowerCase() === name) continue;
    kept.push(headers[at] as string, headers[at + 1] as string);
  }
  return kept;
}
