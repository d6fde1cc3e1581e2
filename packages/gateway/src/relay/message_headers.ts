/**
 * Filters the headers of requests and responses that are forwarded.
 *
 * Hop-by-hop headers are removed, and from requests also those that only the
 * system may set. All others pass unchanged and in order.
 */

import {
  type IncomingMessage,
  type ServerResponse,
  validateHeaderName,
  validateHeaderValue,
} from "node:http";
import {
  expectedReplicaHeader,
  lastEventIdHeader,
  movedRunHeader,
  priorityHeader,
  remainingTimeHeader,
  reservedRequestHeaders,
  tenantHeader,
} from "@almondcrank/platform/headers.ts";

const hopByHopHeaders: ReadonlySet<string> = new Set([
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

/** What a node that hands a request on states anew. */
const handedAnewHeaders: ReadonlySet<string> = new Set([remainingTimeHeader]);

/**
 * Whether headers, as alternating names and values, may be sent on. The parser of
 * Node.js takes names that its writer rejects, for example ones with a space.
 */
export function isWritable(rawHeaders: readonly string[]): boolean {
  try {
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
      const name = rawHeaders[index] as string;
      validateHeaderName(name);
      validateHeaderValue(name, rawHeaders[index + 1] as string);
    }
    return true;
  } catch {
    return false;
  }
}

/** Characters that no path of a request line has. */
const unwritablePathPattern = /[^\u0021-\u00ff]/;

/** Whether a request can be sent on as it came: path and names of headers. */
export function isForwardable(
  { url = "/", rawHeaders }: Pick<IncomingMessage, "url" | "rawHeaders">,
): boolean {
  return !unwritablePathPattern.test(url) && isWritable(rawHeaders);
}

/** Values of the headers that the gateway sets on a request. */
export interface SystemHeaders {
  readonly replicaId: string;
  /** Time left until the deadline of the request. */
  readonly remainingMs: number;
  /** 0 (first) to 9. */
  readonly priority: number;
  readonly tenant: string | undefined;
  /** Id after which to resume the stream; `undefined` keeps the caller's. */
  readonly resumeAfter?: number;
  /** Source address and handle of a moved run. */
  readonly movedRun?: string;
}

/** Headers of a request to forward, as alternating names and values. */
export function listForwardedHeaders(
  request: Pick<IncomingMessage, "headers" | "rawHeaders">,
  bodyBytes: number,
): readonly string[] {
  return listRequestHeaders(request, bodyBytes, reservedRequestHeaders);
}

/** Headers of a request for another node, without the time that is left. */
export function listHandedHeaders(
  request: Pick<IncomingMessage, "headers" | "rawHeaders">,
  bodyBytes: number,
): readonly string[] {
  return listRequestHeaders(request, bodyBytes, handedAnewHeaders);
}

/** Headers of a request that concern more than its connection. */
function listRequestHeaders(
  { headers: values, rawHeaders }: Pick<
    IncomingMessage,
    "headers" | "rawHeaders"
  >,
  bodyBytes: number,
  omitted: ReadonlySet<string>,
): readonly string[] {
  const connectionOptions = listConnectionOptions(values.connection);
  const headers: string[] = [];
  let hasLength = false;
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] as string;
    const key = name.toLowerCase();
    if (hopByHopHeaders.has(key) || omitted.has(key)) continue;
    if (key === "expect" || connectionOptions.has(key)) continue;
    if (key === "content-length") hasLength = true;
    headers.push(name, rawHeaders[index + 1] as string);
  }
  if (!hasLength && bodyBytes > 0) {
    headers.push("Content-Length", String(bodyBytes));
  }
  return headers;
}

/** Adds the gateway's headers to the forwarded ones, for one send. */
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

/**
 * Writes the head of a stream to its caller, unless it was written. It has no length,
 * whatever its first replica stated: other replicas may send the rest.
 */
export function writeStreamHead(
  callerResponse: ServerResponse,
  response: IncomingMessage,
): void {
  if (callerResponse.headersSent) return;
  const headers = listResponseHeaders(response);
  callerResponse.writeHead(200, removeHeader(headers, "content-length"));
}

/** Headers of a response to forward, as alternating names and values. */
export function listResponseHeaders(response: IncomingMessage): string[] {
  const connectionOptions = listConnectionOptions(response.headers.connection);
  const headers: string[] = [];
  const { rawHeaders } = response;
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] as string;
    const key = name.toLowerCase();
    if (hopByHopHeaders.has(key) || connectionOptions.has(key)) continue;
    headers.push(name, rawHeaders[index + 1] as string);
  }
  return headers;
}

/** Hop-by-hop headers that a Connection header names. */
function listConnectionOptions(
  header: string | undefined,
): ReadonlySet<string> {
  if (header === undefined) return new Set();
  return new Set(
    header.split(",").map((token) => token.trim().toLowerCase()),
  );
}

/** Removes a header, named in lower case, from alternating names and values. */
export function removeHeader(
  headers: readonly string[],
  name: string,
): string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if ((headers[index] as string).toLowerCase() === name) continue;
    kept.push(headers[index] as string, headers[index + 1] as string);
  }
  return kept;
}
