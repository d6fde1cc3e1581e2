/**
 * HTTP server for the readiness checks of the load balancer: 200 or 503.
 */

import { createServer, type Server } from "node:http";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import { sendWhole } from "@almondcrank/common/ending_connections.ts";
import { listen } from "@almondcrank/common/listen.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { ServerConnections } from "@almondcrank/common/server_connections.ts";
import { formatBareReply } from "./relay/client_error.ts";

/** Log and verdict of a readiness server. */
export interface ReadinessServerOptions {
  readonly log: Log;
  /** Connections of all servers of the node. */
  readonly connections: ServerConnections;
  readonly isReady: () => boolean;
}

/** Readiness server of one node. */
export class ReadinessServer implements Disposable {
  readonly #server: Server;
  readonly #log: Log;

  private constructor(
    { isReady, log, connections }: ReadinessServerOptions,
  ) {
    this.#log = log;
    this.#server = createServer((_request, response) => {
      sendWhole(response, {
        status: isReady() ? 200 : 503,
        headers: { "Content-Length": "0" },
        body: "",
      });
    });
    connections.guard(this.#server, {
      listener: "readiness",
      busyText: formatBareReply(503, "Service Unavailable"),
    });
  }

  static create(options: ReadinessServerOptions): ReadinessServer {
    return new ReadinessServer(options);
  }

  /** Listens on an address; rejects when it cannot be bound. */
  open(address: string): Promise<void> {
    return listen(this.#server, address, {
      onError: ({ message }) =>
        this.#log.error("the readiness server failed.", { reason: message }),
    });
  }

  dispose(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
