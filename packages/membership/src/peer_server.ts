/**
 * Server of a node's peer address: tRPC over HTTP, guarded by the shared key.
 *
 * The key proof is checked from the headers alone. A call without it is
 * answered with 401 and its connection is closed before the body is read.
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { getHeapStatistics } from "node:v8";
import type { Either } from "purify-ts";
import { fetchRequestHandler } from "@trpc/server/adapters/fetch";
import type { AnyRouter, TRPCError } from "@trpc/server";
import { type Address, formatAddress } from "@almondcrank/common/address.ts";
import { BodyBudget, type BodyShare } from "@almondcrank/common/body_budget.ts";
import { SystemClock } from "@almondcrank/common/clock.ts";
import { sendLast } from "@almondcrank/common/ending_connections.ts";
import { listen } from "@almondcrank/common/listen.ts";
import { formatThrown } from "@almondcrank/common/kind_error.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import { type BodyError, readBody } from "@almondcrank/common/http_server.ts";
import { ServerConnections } from "@almondcrank/common/server_connections.ts";
import { ByteMeter } from "./byte_meter.ts";
import { decodeBody, encodeBody, peerEncoding } from "./peer_encoding.ts";
import { isPeerProof } from "./peer_key.ts";
import type { PeerContext } from "./peer_procedures.ts";

const maxHeaderBytes = 8_192;
const maxBodyBytes = 16_777_216;
const headersTimeoutMs = 5_000;
const requestTimeoutMs = 30_000;
const keepAliveTimeoutMs = 90_000;
const maxConnections = 4_096;
const busyText =
  "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/** Options of a peer server. */
export interface PeerServerOptions<R extends AnyRouter> {
  /** IP address and port; port 0 binds a free one. */
  readonly address: Address;
  /** Shared key of all nodes, from the settings. */
  readonly key: string;
  readonly router: R;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Connections of the process; those of this server alone by default. */
  readonly connections?: ServerConnections | undefined;
}

/** A listening peer server. */
export class PeerServer {
  /** Bytes on all connections that peers opened to this node. */
  readonly bytes: ByteMeter;
  readonly #server: Server;
  readonly #sockets: Set<Socket>;

  private constructor(
    server: Server,
    sockets: Set<Socket>,
    bytes: ByteMeter,
  ) {
    this.#server = server;
    this.#sockets = sockets;
    this.bytes = bytes;
  }

  /** Starts listening; rejects when the address cannot be bound. */
  static async open<R extends AnyRouter>(
    options: PeerServerOptions<R>,
  ): Promise<PeerServer> {
    const sockets = new Set<Socket>();
    const bytes = ByteMeter.create();
    const server = createServer({
      maxHeaderSize: maxHeaderBytes,
      headersTimeout: headersTimeoutMs,
      requestTimeout: requestTimeoutMs,
      keepAliveTimeout: keepAliveTimeoutMs,
      noDelay: true,
    }, createListener(options));
    server.maxConnections = maxConnections;
    const connections = options.connections ?? ServerConnections.create({
      clock: SystemClock.create(),
      memoryBytes: getHeapStatistics().heap_size_limit,
    });
    connections.guard(server, { listener: "peers", busyText });
    server.on("connection", (socket) => {
      sockets.add(socket);
      bytes.add(socket);
      socket.once("close", () => sockets.delete(socket));
    });
    await listen(server, options.address, {
      onError: ({ message }) =>
        options.log.warn("the listener for peers failed.", {
          reason: message,
        }),
    });
    return new PeerServer(server, sockets, bytes);
  }

  /** The address that the server is bound to. */
  get address(): Address {
    const info = this.#server.address() as AddressInfo;
    return formatAddress(info.address, info.port);
  }

  /** Stops listening; resolves when calls in progress have been answered. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeIdleConnections();
    });
  }

  /** Stops listening and closes every connection at once. */
  dispose(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }
}

function createListener<R extends AnyRouter>(
  options: PeerServerOptions<R>,
): (request: IncomingMessage, response: ServerResponse) => void {
  const { key, log, metrics } = options;
  const bodies = BodyBudget.createFor(
    getHeapStatistics().heap_size_limit,
    SystemClock.create(),
  );
  return (request, response) => {
    response.sendDate = false;
    if (!isPeerProof(key, request.headers.authorization)) {
      metrics.count("peer_refusals_total", { reason: "wrong_key" });
      log.warn("refused a call without the shared key.", {
        from: request.socket.remoteAddress,
      });
      refuseCall(response);
      return;
    }
    const share = bodies.open();
    answerCall({ ...options, share }, request, response).catch((error) => {
      metrics.count("peer_refusals_total", { reason: "malformed" });
      log.warn("a peer's call was malformed.", { error: formatThrown(error) });
      response.destroy();
    }).finally(() => share.release());
  };
}

async function answerCall<R extends AnyRouter>(
  options: PeerServerOptions<R> & { readonly share: BodyShare },
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const { metrics, share } = options;
  const call = (await readCall(request, share)).caseOf({
    Left: ({ kind }) => {
      metrics.count("peer_refusals_total", { reason: kind });
      return undefined;
    },
    Right: (read) => read,
  });
  if (call === undefined) return void response.destroy();
  const remoteAddress = request.socket.remoteAddress ?? "";
  const answer = await fetchRequestHandler({
    endpoint: "",
    router: options.router,
    req: call,
    allowMethodOverride: true,
    createContext: (): PeerContext => ({ remoteAddress }),
    onError: ({ error, path }) => recordFailure(options, error, path),
  });
  const body = encodeBody(await answer.text());
  const headers: Record<string, string | number> = {
    "content-length": body.bytes.length,
  };
  if (body.encoding !== undefined) headers["content-encoding"] = body.encoding;
  response.writeHead(answer.status, headers);
  response.end(body.bytes);
}

/** Reads the call as a tRPC request. */
async function readCall(
  request: IncomingMessage,
  share: BodyShare,
): Promise<Either<BodyError, Request>> {
  const limits = { maxBytes: maxBodyBytes, openShare: () => share };
  return (await readBody(request, limits)).map((bytes) =>
    createCall(request, bytes)
  );
}

function createCall(request: IncomingMessage, bytes: Buffer): Request {
  const encoding = request.headers["content-encoding"] === peerEncoding
    ? peerEncoding
    : undefined;
  const text = decodeBody({ bytes, encoding });
  return new Request(new URL(request.url ?? "/", "http://peer"), {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: text === "" ? null : text,
  });
}

function recordFailure<R extends AnyRouter>(
  options: PeerServerOptions<R>,
  error: TRPCError,
  path: string | undefined,
): void {
  if (error.code !== "INTERNAL_SERVER_ERROR") return;
  const labels = { path: path ?? "" };
  options.metrics.count("peer_call_failures_total", labels);
  options.log.error("a peer's call failed.", { path, error: error.message });
}

function refuseCall(response: ServerResponse): void {
  const body = JSON.stringify({
    error: {
      kind: "unauthorized",
      message: "the shared key is missing or wrong; set peers.key in settings",
    },
  });
  sendLast(response, {
    status: 401,
    headers: {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
    },
    body,
  });
}
