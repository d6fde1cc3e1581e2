/**
 * HTTP server for the readiness checks of the load balancer: 200 or 503.
 */

import { createServer, type Server } from "node:http";
import { requireAddress } from "@almondcrank/common/address.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
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
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ ...requireAddress(address) }, () => {
        this.#server.off("error", reject);
        this.#server.on("error", (error) => {
          this.#log.error("the readiness server failed.", {
            reason: error.message,
          });
        });
        resolve();
      });
    });
  }

  dispose(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
