/**
 * A bounded HTTP server: routing by find-my-way, limits on everything a client
 * can send, JSON answers.
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
  STATUS_CODES,
} from "node:http";
import { type AddressInfo, Socket } from "node:net";
import type { Duplex } from "node:stream";
import createRouter, { type HTTPVersion, type Instance } from "find-my-way";
import { type Either, Left, Right } from "purify-ts";
import { type Address, formatAddress, parseAddress } from "./address.ts";
import { formatThrown, KindError } from "./kind_error.ts";
import {
  createClientError,
  createNoSuchPathError,
  formatServerError,
  type ServerError,
} from "./server_error.ts";

/** Limits of one listener. */
export interface HttpLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly maxConnections: number;
  /** Time a client has to send its headers. */
  readonly headersTimeoutMs: number;
  /** Time a client has to send its whole request. */
  readonly requestTimeoutMs: number;
}

export const defaultHttpLimits: HttpLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  maxConnections: 4_096,
  headersTimeoutMs: 5_000,
  requestTimeoutMs: 15_000,
};

/** Connections over the limit that are still answered; the rest is dropped. */
const refusedConnections = 64;
/** Bytes of a refused body that may still arrive. */
const maxDiscardBytes = 16_777_216;
/** Silence after which a connection with a refused body is closed. */
const lingerMs = 1_000;

/** Connections on which the rest of a refused body passes. */
const discarding = new WeakSet<Socket>();

/** One request with the parameters of its route. */
export interface HttpExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly parameters: Readonly<Record<string, string | undefined>>;
  readonly query: URLSearchParams;
  /** Path without the query, percent-encoding untouched. */
  readonly path: string;
}

/** Answers one request; a rejection becomes a 500. */
export type HttpHandler = (exchange: HttpExchange) => Promise<void> | void;

/** A route: method, find-my-way path, handler. */
export interface HttpRoute {
  readonly method: "GET" | "POST" | "PUT" | "PATCH" | "DELETE" | "ALL";
  readonly path: string;
  readonly handle: HttpHandler;
}

export type BodyErrorDetail =
  | { readonly kind: "body_too_large"; readonly limitBytes: number }
  | { readonly kind: "body_not_utf8" }
  | { readonly kind: "body_not_json"; readonly reason: string }
  | { readonly kind: "body_incomplete" };

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
  }
}

/** Options of a server. */
export interface HttpServerOptions {
  /** IP number and port; port 0 takes a free one. */
  readonly address: Address;
  readonly routes: readonly HttpRoute[];
  readonly limits?: Partial<HttpLimits>;
  /** Called for a handler that rejected. */
  readonly onHandlerError?: (error: unknown) => void;
}

/** A listening server. */
export class HttpServer {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  /** Connections over the limit, which are told so and closed. */
  readonly #refused = new Set<Socket>();

  private constructor(server: Server, maxConnections: number) {
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

  /** Starts listening; rejects when the address cannot be bound. */
  static async open(options: HttpServerOptions): Promise<HttpServer> {
    const limits = { ...defaultHttpLimits, ...options.limits };
    const parts = parseAddress(options.address);
    if (parts === undefined) {
      throw new Error(
        `address "${options.address}" is not an IP number with a port; write it like 127.0.0.1:8080`,
      );
    }
    const server = createServer({
      maxHeaderSize: limits.maxHeaderBytes,
      headersTimeout: Math.min(
        limits.headersTimeoutMs,
        limits.requestTimeoutMs,
      ),
      requestTimeout: limits.requestTimeoutMs,
      connectionsCheckingInterval: 1_000,
      noDelay: true,
    });
    server.maxConnections = limits.maxConnections + refusedConnections;
    server.on(
      "clientError",
      (error, socket) => handleClientError(error, { socket, limits }),
    );
    const opened = new HttpServer(server, limits.maxConnections);
    const listener = createListener(options);
    server.on("request", (request, response) => {
      if (!opened.#refused.has(request.socket)) listener(request, response);
      else refuseConnection(response, limits.maxConnections);
    });
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(parts.port, parts.host, () => {
        server.off("error", reject);
        resolve();
      });
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

  /** Stops accepting connections; resolves when the open ones have ended. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeIdleConnections();
    });
  }

  /** Cuts every connection and stops listening. */
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
    const mark = url.indexOf("?");
    const exchange: HttpExchange = {
      request,
      response,
      parameters,
      query: new URLSearchParams(mark < 0 ? "" : url.slice(mark + 1)),
      path: mark < 0 ? url : url.slice(0, mark),
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
      `more than ${limit} connections are open; use open ones again or ask another node`,
    run: "not_run",
  });
}

function handleClientError(
  error: NodeJS.ErrnoException,
  client: { readonly socket: Duplex; readonly limits: HttpLimits },
): void {
  const { socket, limits } = client;
  if (
    error.code === "ECONNRESET" || !socket.writable || isAnswered(socket)
  ) {
    socket.destroy();
    return;
  }
  const answer = createClientError(error.code, limits);
  const body = JSON.stringify(formatServerError(answer));
  const reason = STATUS_CODES[answer.status];
  socket.end(
    `HTTP/1.1 ${answer.status} ${reason}\r\ncontent-type: application/json; charset=utf-8\r\nconnection: close\r\ncontent-length: ${
      Buffer.byteLength(body)
    }\r\n\r\n${body}`,
  );
  if (socket instanceof Socket) {
    socket.setTimeout(lingerMs, () => socket.destroy());
  }
}

/** Whether the request in progress has its answer, so that none may follow. */
function isAnswered(socket: Duplex): boolean {
  return socket instanceof Socket && discarding.has(socket);
}

/** Answers with JSON. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    "content-type": "application/json; charset=utf-8",
    "content-length": Buffer.byteLength(body),
    ...headers,
  });
  response.end(body);
}

/** Reads a whole body of at most `limitBytes`. */
export async function readBody(
  request: IncomingMessage,
  limitBytes: number = defaultHttpLimits.maxBodyBytes,
): Promise<Either<BodyError, Buffer>> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    // A body that is given up must not take the connection and answer with it.
    const reading: AsyncIterable<Buffer> = request.iterator({
      destroyOnReturn: false,
    });
    for await (const chunk of reading) {
      size += chunk.length;
      if (size > limitBytes) {
        return Left(BodyError.create({ kind: "body_too_large", limitBytes }));
      }
      chunks.push(chunk);
    }
  } catch {
    return Left(BodyError.create({ kind: "body_incomplete" }));
  }
  return Right(Buffer.concat(chunks));
}

/**
 * Lets the rest of a refused body pass after the answer was sent.
 *
 * Closing a connection with unread bytes resets it, and the caller may lose the
 * answer; what may still arrive is bounded in bytes and silence.
 */
export function discardBody(request: IncomingMessage): void {
  if (request.complete) return;
  const { socket } = request;
  let left = maxDiscardBytes;
  discarding.add(socket);
  request.on("data", (chunk: Buffer) => {
    left -= chunk.length;
    if (left < 0) socket.destroySoon();
  });
  request.once("end", () => socket.destroySoon());
  socket.setTimeout(lingerMs, () => socket.destroySoon());
  request.resume();
}

/** Reads a whole body as JSON. */
export async function readJsonBody(
  request: IncomingMessage,
  limitBytes?: number,
): Promise<Either<BodyError, unknown>> {
  return (await readBody(request, limitBytes)).chain(parseJsonBody);
}

/** Parses bytes as strict UTF-8 JSON. */
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
