/**
 * HTTP server for the readiness checks of the load balancer: 200 or 503.
 */

import { createServer, type Server } from "node:http";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import { listen } from "@almondcrank/common/listen.ts";
import type { Log } from "@almondcrank/common/logs.ts";

/** Log and verdict of a readiness server. */
export interface ReadinessServerOptions {
  readonly log: Log;
  readonly isReady: () => boolean;
}

/** Readiness server of one node. */
export class ReadinessServer implements Disposable {
  readonly #server: Server;
  readonly #log: Log;

  private constructor({ isReady, log }: ReadinessServerOptions) {
    this.#log = log;
    this.#server = createServer((_request, response) => {
      response.writeHead(isReady() ? 200 : 503, { "Content-Length": "0" });
      response.end();
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
