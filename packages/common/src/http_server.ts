/**
 * A bounded HTTP server: routing by find-my-way, limits on everything a client
 * can send, JSON answers.
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import createRouter, { type HTTPVersion, type Instance } from "find-my-way";
import { type Either, Left, Right } from "purify-ts";
import { type Address, formatAddress, parseAddress } from "./address.ts";
import { formatThrown, KindError } from "./kind_error.ts";

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

  private constructor(server: Server) {
    this.#server = server;
    server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
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
      headersTimeout: limits.headersTimeoutMs,
      requestTimeout: limits.requestTimeoutMs,
      connectionsCheckingInterval: 1_000,
      noDelay: true,
    }, createListener(options));
    server.maxConnections = limits.maxConnections;
    server.on("clientError", handleClientError);
    const opened = new HttpServer(server);
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
      sendJson(response, 404, {
        error: {
          kind: "no_such_path",
          message: "no such path; see the documentation for the paths",
        },
      });
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

function sendInternalError(response: ServerResponse, thrown: unknown): void {
  sendJson(response, 500, {
    error: { kind: "internal", message: formatThrown(thrown) },
  });
}

function handleClientError(
  error: NodeJS.ErrnoException,
  socket: import("node:stream").Duplex,
): void {
  if (error.code === "ECONNRESET" || !socket.writable) {
    socket.destroy();
    return;
  }
  const tooLarge = error.code === "HPE_HEADER_OVERFLOW";
  const timedOut = error.code === "ERR_HTTP_REQUEST_TIMEOUT";
  const status = tooLarge
    ? "431 Request Header Fields Too Large"
    : timedOut
    ? "408 Request Timeout"
    : "400 Bad Request";
  const kind = tooLarge
    ? "headers_too_large"
    : timedOut
    ? "request_too_slow"
    : "malformed_http";
  const body = JSON.stringify({
    error: { kind, message: `${kind}; send a well-formed request` },
  });
  socket.end(
    `HTTP/1.1 ${status}\r\ncontent-type: application/json\r\nconnection: close\r\ncontent-length: ${
      Buffer.byteLength(body)
    }\r\n\r\n${body}`,
  );
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
    for await (const chunk of request as AsyncIterable<Buffer>) {
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
