/**
 * HTTP server with routing by find-my-way, limits on the size, duration and
 * number of requests and connections, and JSON answers.
 */

import {
  type IncomingMessage,
  type ServerResponse,
  STATUS_CODES,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { Duplex } from "node:stream";
import { getHeapStatistics } from "node:v8";
import createRouter, { type HTTPVersion, type Instance } from "find-my-way";
import { type Either, Left, Right } from "purify-ts";
import { type Address, formatAddress } from "./address.ts";
import { SystemClock } from "./clock.ts";
import { DrainableServer } from "./drainable_server.ts";
import { formatThrown, KindError } from "./kind_error.ts";
import { endWithText, sendWhole } from "./ending_connections.ts";
import { listen } from "./listen.ts";
import { type BodyLimits, readRequestBody } from "./request_body.ts";
import { ServerConnections } from "./server_connections.ts";
import {
  createClientError,
  createMemoryError,
  createNoSuchPathError,
  createStoppedError,
  formatServerError,
  type ServerError,
} from "./server_error.ts";

/** Limits of one listener. */
export interface HttpLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly maxConnections: number;
  /** Time that a client has to send its headers. */
  readonly headersTimeoutMs: number;
  /** Time that a client has to send its whole request. */
  readonly requestTimeoutMs: number;
}

/** Limits that apply where a listener sets none. */
export const defaultHttpLimits: HttpLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  maxConnections: 4_096,
  headersTimeoutMs: 5_000,
  requestTimeoutMs: 15_000,
};

/**
 * Connections over the limit that are answered with 503; further ones are
 * dropped.
 */
const maxRefusedConnections = 64;
/** Time after which a caller that found no room tries again, in milliseconds. */
const noRoomRetryMs = 500;

/** One request with the parameters of its route. */
export interface HttpExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly parameters: Readonly<Record<string, string | undefined>>;
  readonly query: URLSearchParams;
  /** Path without the query, still percent-encoded. */
  readonly path: string;
}

/** Handles one request; a rejection is answered with 500. */
export type HttpHandler = (exchange: HttpExchange) => Promise<void> | void;

/** A route; `path` is a find-my-way pattern, `ALL` stands for every method. */
export interface HttpRoute {
  readonly method: "GET" | "POST" | "PUT" | "PATCH" | "DELETE" | "ALL";
  readonly path: string;
  readonly handle: HttpHandler;
}

/** Reasons why a request body cannot be used. */
export type BodyErrorDetail =
  | { readonly kind: "body_too_large"; readonly limitBytes: number }
  | { readonly kind: "body_not_utf8" }
  | { readonly kind: "body_not_json"; readonly reason: string }
  | { readonly kind: "body_incomplete" }
  | { readonly kind: "memory_short"; readonly retryAfterMs: number };

/** A request body that cannot be used. */
export class BodyError extends KindError<BodyErrorDetail> {
  static create(detail: BodyErrorDetail): BodyError {
    return new BodyError(detail, formatBodyError(detail));
  }
}

function formatBodyError(detail: BodyErrorDetail): string {
  switch (detail.kind) {
    case "body_too_large":
      return `body exceeds ${detail.limitBytes} bytes; send a smaller one`;
    case "body_not_utf8":
      return "body is not valid UTF-8; encode it as UTF-8";
    case "body_not_json":
      return `body is not valid JSON (${detail.reason}); correct it`;
    case "body_incomplete":
      return "connection ended before the whole body arrived; send it again";
    case "memory_short":
      return "bodies of other requests leave no room for this one; send it again after the time in Retry-After, or to another node";
  }
}

/** Options of `HttpServer.open`. */
export interface HttpServerOptions {
  /** IP address and port; port 0 chooses a free port. */
  readonly address: Address;
  readonly routes: readonly HttpRoute[];
  readonly limits?: Partial<HttpLimits>;
  /** Name of the listener, for what its connections cost. */
  readonly listener?: string;
  /** Connections of the process; those of this server alone by default. */
  readonly connections?: ServerConnections;
  /** Called with the reason when a handler rejects or the listener fails. */
  readonly onHandlerError?: (error: unknown) => void;
}

/** An HTTP server that listens on one address. */
export class HttpServer {
  readonly #server: DrainableServer;
  readonly #sockets = new Set<Socket>();
  /** Connections over the limit, which are answered with 503 and closed. */
  readonly #refused = new Set<Socket>();

  private constructor(server: DrainableServer, maxConnections: number) {
    this.#server = server;
    server.on("connection", (socket) => {
      const served = this.#sockets.size - this.#refused.size;
      if (served >= maxConnections) this.#refused.add(socket);
      this.#sockets.add(socket);
      socket.once("close", () => {
        this.#sockets.delete(socket);
        this.#refused.delete(socket);
      });
    });
  }

  /**
   * Starts listening; rejects when the address is invalid or cannot be bound.
   */
  static async open(options: HttpServerOptions): Promise<HttpServer> {
    const limits = { ...defaultHttpLimits, ...options.limits };
    const server = DrainableServer.create({
      maxHeaderSize: limits.maxHeaderBytes,
      headersTimeout: Math.min(
        limits.headersTimeoutMs,
        limits.requestTimeoutMs,
      ),
      requestTimeout: limits.requestTimeoutMs,
      connectionsCheckingInterval: 1_000,
      noDelay: true,
    });
    server.maxConnections = limits.maxConnections + maxRefusedConnections;
    server.on(
      "clientError",
      (error, socket) => handleClientError(error, { socket, limits }),
    );
    const connections = options.connections ?? ServerConnections.create({
      clock: SystemClock.create(),
      memoryBytes: getHeapStatistics().heap_size_limit,
    });
    connections.guard(server, {
      listener: options.listener ?? "",
      busyText: formatRawError(createMemoryError(), [
        "retry-after: 1",
        "x-run: not_run",
      ]),
    });
    const opened = new HttpServer(server, limits.maxConnections);
    const listener = createListener(options);
    server.on("request", (request, response) => {
      if (!opened.#refused.has(request.socket)) listener(request, response);
      else refuseConnection(response, limits.maxConnections);
    });
    await listen(server, options.address, {
      onError: (error) => options.onHandlerError?.(error),
    });
    return opened;
  }

  /** Bound address. */
  get address(): Address {
    const info = this.#server.address() as AddressInfo;
    return formatAddress(info.address, info.port);
  }

  /** Number of open connections. */
  get connections(): number {
    return this.#sockets.size;
  }

  /**
   * Stops accepting connections and closes each one once it is idle; resolves
   * when all have ended.
   */
  close(): Promise<void> {
    return this.#server.drain();
  }

  /**
   * Answers all requests that still run, before the process ends: a closed connection
   * would tell their callers less.
   */
  failRunning(): void {
    for (const response of this.#server.listUnanswered()) {
      sendServerError(response, createStoppedError());
    }
  }

  /** Stops listening and destroys every connection. */
  dispose(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }
}

function createListener(
  options: HttpServerOptions,
): (request: IncomingMessage, response: ServerResponse) => void {
  const router = createRouter<HTTPVersion.V1>({
    ignoreTrailingSlash: true,
    defaultRoute: (_request, response) => {
      sendServerError(response, createNoSuchPathError());
    },
  });
  for (const route of options.routes) addRoute(router, route, options);
  return (request, response) => {
    response.on("error", () => response.destroy());
    router.lookup(request, response);
  };
}

function addRoute(
  router: Instance<HTTPVersion.V1>,
  route: HttpRoute,
  options: HttpServerOptions,
): void {
  const handle = (
    request: IncomingMessage,
    response: ServerResponse,
    parameters: Readonly<Record<string, string | undefined>>,
  ): void => {
    const url = request.url ?? "/";
    const queryStart = url.indexOf("?");
    const exchange: HttpExchange = {
      request,
      response,
      parameters,
      query: new URLSearchParams(
        queryStart < 0 ? "" : url.slice(queryStart + 1),
      ),
      path: queryStart < 0 ? url : url.slice(0, queryStart),
    };
    Promise.resolve().then(() => route.handle(exchange)).catch((error) => {
      options.onHandlerError?.(error);
      if (response.headersSent) response.destroy();
      else sendInternalError(response, error);
    });
  };
  if (route.method === "ALL") router.all(route.path, handle);
  else router.on(route.method, route.path, handle);
}

function sendServerError(response: ServerResponse, error: ServerError): void {
  sendJson(response, error.status, formatServerError(error));
}

function sendInternalError(response: ServerResponse, thrown: unknown): void {
  sendServerError(response, {
    status: 500,
    kind: "internal",
    message: `${formatThrown(thrown)}; report it to the operators`,
    run: "unknown",
  });
}

function refuseConnection(response: ServerResponse, limit: number): void {
  response.setHeader("connection", "close");
  response.setHeader("retry-after", "1");
  sendServerError(response, {
    status: 503,
    kind: "too_many_connections",
    message:
      `more than ${limit} connections are open; reuse open connections or call another node`,
    run: "not_run",
  });
}

function handleClientError(
  error: NodeJS.ErrnoException,
  client: { readonly socket: Duplex; readonly limits: HttpLimits },
): void {
  const { socket, limits } = client;
  if (error.code === "ECONNRESET" || !socket.writable) {
    socket.destroy();
    return;
  }
  const answer = createClientError(error.code, limits);
  endWithText(socket, formatRawError(answer));
}

/** Formats an error as a whole answer, after which the connection closes. */
function formatRawError(
  error: ServerError,
  headers: readonly string[] = [],
): string {
  const body = JSON.stringify(formatServerError(error));
  return [
    `HTTP/1.1 ${error.status} ${STATUS_CODES[error.status]}`,
    "content-type: application/json; charset=utf-8",
    "connection: close",
    `content-length: ${Buffer.byteLength(body)}`,
    ...headers,
    "",
    body,
  ].join("\r\n");
}

/** Sends `value` as a JSON answer. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  const body = JSON.stringify(value);
  const contentLength = Buffer.byteLength(body);
  sendWhole(response, {
    status,
    headers: {
      "content-type": "application/json; charset=utf-8",
      "content-length": contentLength,
      ...headers,
    },
    body,
  });
}

/** Reads a whole body within its limits; they are read as `readRequestBody` does. */
export async function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<Either<BodyError, Buffer>> {
  const result = await readRequestBody(request, limits);
  switch (result.kind) {
    case "read":
      return Right(result.body);
    case "too_large":
      return Left(BodyError.create({
        kind: "body_too_large",
        limitBytes: limits.maxBytes,
      }));
    case "no_room":
      return Left(BodyError.create({
        kind: "memory_short",
        retryAfterMs: noRoomRetryMs,
      }));
    case "timeout":
    case "gone":
      return Left(BodyError.create({ kind: "body_incomplete" }));
  }
}

/** Parses bytes as JSON; invalid UTF-8 is an error. */
export function parseJsonBody(body: Uint8Array): Either<BodyError, unknown> {
  let text: string;
  try {
    text = new TextDecoder("utf-8", { fatal: true }).decode(body);
  } catch {
    return Left(BodyError.create({ kind: "body_not_utf8" }));
  }
  try {
    return Right(JSON.parse(text));
  } catch (thrown) {
    const reason = formatThrown(thrown);
    return Left(BodyError.create({ kind: "body_not_json", reason }));
  }
}
