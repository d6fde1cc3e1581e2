/**
 * Client of a gateway node's callers' listener: sends one request and reads its
 * answer, also when that breaks off.
 */

import {
  type Agent,
  type IncomingHttpHeaders,
  type IncomingMessage,
  request,
} from "node:http";

import {
  authorizationHeader,
  keyScheme,
  remainingTimeHeader,
  requestIdHeader,
} from "@almondcrank/platform/headers.ts";

/** A request to send. */
export interface RouteRequest {
  /** Callers' address of a node. */
  readonly address: string;
  /** Value of the `Host` header, which selects the routes. */
  readonly host: string;
  readonly path: string;
  /** Request id. */
  readonly id: string;
  /** `POST` by default. */
  readonly method?: string;
  /** API key; not needed for routes without authentication. */
  readonly key?: string | undefined;
  readonly body?: string;
  /** Time until the deadline, which is sent with the request. */
  readonly deadlineMs: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** Agent that keeps connections; by default the request opens its own. */
  readonly agent?: Agent;
  /** Time after which the caller closes the connection, if at all. */
  readonly abortAfterMs?: number | undefined;
  /** Number of events after which the caller closes the connection, if at all. */
  readonly abortAfterEvents?: number;
}

/** An answer as its caller received it. */
export interface RouteAnswer {
  /** 0 when no answer came. */
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer ended at the end of its framing. */
  readonly isComplete: boolean;
  /** Time to the first byte of the body; undefined when none came. */
  readonly firstByteMs: number | undefined;
  /** Time to the end of the answer or its failure. */
  readonly totalMs: number;
  /** Whether the caller itself closed the connection. */
  readonly isAborted: boolean;
}

/** Time for which a caller waits after its deadline. */
const graceMs = 1_500;

/** Body of a request that states none: Node.js announces none of these methods. */
function chooseBody(method: string | undefined): string {
  return method === "GET" || method === "HEAD" ? "" : "question";
}

/** Sends a request; failures are reported in the answer, never thrown. */
export function sendRouteRequest(sent: RouteRequest): Promise<RouteAnswer> {
  return new Promise((resolve) => {
    const startedAt = performance.now();
    const timers: NodeJS.Timeout[] = [];
    let answer: IncomingMessage | undefined;
    let body = "";
    let firstByteMs: number | undefined;
    let isAborted = false;
    const finish = (isComplete: boolean): void => {
      for (const timer of timers) clearTimeout(timer);
      resolve({
        status: answer?.statusCode ?? 0,
        headers: answer?.headers ?? {},
        body,
        isComplete,
        firstByteMs,
        totalMs: performance.now() - startedAt,
        isAborted,
      });
    };
    const { abortAfterEvents } = sent;
    const abort = (): void => {
      isAborted = true;
      outgoing.destroy();
    };
    const [host, port] = sent.address.split(":");
    const outgoing = request({
      host,
      port,
      path: sent.path,
      method: sent.method ?? "POST",
      agent: sent.agent ?? false,
      headers: composeHeaders(sent),
    });
    outgoing.on("error", () => finish(false));
    outgoing.on("response", (message) => {
      answer = message;
      message.setEncoding("utf8");
      message.on("data", (text: string) => {
        firstByteMs ??= performance.now() - startedAt;
        body += text;
        const isEnough = abortAfterEvents !== undefined &&
          countEvents(body) >= abortAfterEvents;
        if (isEnough) abort();
      });
      message.on("error", () => finish(false));
      message.on("end", () => finish(message.complete));
    });
    outgoing.end(sent.body ?? chooseBody(sent.method));
    const end = (): void => void outgoing.destroy();
    timers.push(setTimeout(end, sent.deadlineMs + graceMs));
    if (sent.abortAfterMs === undefined) return;
    timers.push(setTimeout(abort, sent.abortAfterMs));
  });
}

/** Counts the events of a stream that have arrived whole. */
function countEvents(body: string): number {
  return body.split("\n\n").length - 1;
}

function composeHeaders(sent: RouteRequest): Record<string, string> {
  return {
    Host: sent.host,
    [requestIdHeader]: sent.id,
    [remainingTimeHeader]: String(sent.deadlineMs),
    ...(sent.key === undefined
      ? {}
      : { [authorizationHeader]: `${keyScheme}${sent.key}` }),
    ...sent.headers,
  };
}
