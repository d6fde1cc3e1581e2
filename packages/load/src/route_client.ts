/**
 * A caller of the routes interface: sends one request and reads its answer as it
 * comes, whole or not.
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
  readonly host: string;
  readonly path: string;
  readonly id: string;
  readonly method?: string;
  /** Left out for routes that are open to all. */
  readonly key?: string | undefined;
  readonly body?: string;
  readonly deadlineMs: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** Keeps connections; the request has one of its own by default. */
  readonly agent?: Agent;
  /** Closes the connection after this time, as a caller that leaves. */
  readonly abortAfterMs?: number | undefined;
}

/** An answer as its caller saw it. */
export interface RouteAnswer {
  /** 0 when no answer came. */
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer ended as its framing says. */
  readonly isComplete: boolean;
  /** Time to the first bytes of the body; undefined when none came. */
  readonly firstByteMs: number | undefined;
  readonly totalMs: number;
  /** Whether the caller itself closed the connection. */
  readonly isAborted: boolean;
}

/** Time beyond its deadline for which a caller waits. */
const patienceMs = 1_500;

/** Sends a request; failures show in the answer, nothing is thrown. */
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
      });
      message.on("error", () => finish(false));
      message.on("end", () => finish(message.complete));
    });
    outgoing.end(sent.body ?? "question");
    const end = (): void => void outgoing.destroy();
    timers.push(setTimeout(end, sent.deadlineMs + patienceMs));
    if (sent.abortAfterMs === undefined) return;
    timers.push(setTimeout(() => {
      isAborted = true;
      end();
    }, sent.abortAfterMs));
  });
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
