/**
 * Listener of a node's peer address: tRPC over HTTP behind the shared key.
 *
 * The key is checked from the headers alone. A call without it is answered 401
 * and its connection closed before anything else is read.
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { nodeHTTPRequestHandler } from "@trpc/server/adapters/node-http";
import type { AnyRouter } from "@trpc/server";
import {
  type Address,
  formatAddress,
  parseAddress,
} from "@almondcrank/common/address.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import { ByteMeter } from "./byte_meter.ts";
import { isPeerProof } from "./peer_key.ts";
import type { PeerContext } from "./peer_procedures.ts";

const maxHeaderBytes = 8_192;
const maxBodyBytes = 16_777_216;
const headersTimeoutMs = 5_000;
const requestTimeoutMs = 30_000;
const keepAliveTimeoutMs = 90_000;
const maxConnections = 4_096;

/** Options of the listener. */
export interface PeerServerOptions<R extends AnyRouter> {
  /** IP number and port; port 0 takes a free one. */
  readonly address: Address;
  /** Shared key of all nodes, from the settings. */
  readonly key: string;
  readonly router: R;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** A listening peer server. */
export class PeerServer {
  /** Bytes of all connections that peers made to this node. */
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
    const parts = parseAddress(options.address);
    if (parts === undefined) {
      throw new Error(
        `peer address "${options.address}" is not an IP number with a port; write it like 127.0.0.1:7000`,
      );
    }
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
    server.on("connection", (socket) => {
      sockets.add(socket);
      bytes.add(socket);
      socket.once("close", () => sockets.delete(socket));
    });
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(parts.port, parts.host, () => {
        server.off("error", reject);
        resolve();
      });
    });
    return new PeerServer(server, sockets, bytes);
  }

  /** Bound address. */
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

  /** Cuts every connection and stops listening. */
  dispose(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }
}

function createListener<R extends AnyRouter>(
  options: PeerServerOptions<R>,
): (request: IncomingMessage, response: ServerResponse) => void {
  const { key, router, log, metrics } = options;
  return (request, response) => {
    response.sendDate = false;
    if (!isPeerProof(key, request.headers.authorization)) {
      metrics.count("peer_refusals_total", { reason: "wrong_key" });
      log.warn("refused a call without the shared key.", {
        from: request.socket.remoteAddress,
      });
      refuseCall(request, response);
      return;
    }
    const remoteAddress = request.socket.remoteAddress ?? "";
    const url = new URL(request.url ?? "/", "http://peer");
    nodeHTTPRequestHandler({
      router,
      req: request,
      res: response,
      path: url.pathname.slice(1),
      maxBodySize: maxBodyBytes,
      allowMethodOverride: true,
      createContext: (): PeerContext => ({ remoteAddress }),
      onError: ({ error, path }) => {
        if (error.code !== "INTERNAL_SERVER_ERROR") return;
        metrics.count("peer_call_failures_total", { path: path ?? "" });
        log.error("a peer's call failed.", { path, error: error.message });
      },
    }).catch(() => response.destroy());
  };
}

function refuseCall(request: IncomingMessage, response: ServerResponse): void {
  const body = JSON.stringify({
    error: {
      kind: "unauthorized",
      message: "the shared key is missing or wrong; set peers.key in settings",
    },
  });
  response.writeHead(401, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
    "connection": "close",
  });
  response.end(body, () => request.destroy());
}
