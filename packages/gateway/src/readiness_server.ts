/**
 * HTTP server for the readiness checks of the load balancer: 200 or 503.
 */

import { createServer, type Server } from "node:http";
import { requireAddress } from "@almondcrank/common/address.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";

/** Readiness server of one node. */
export class ReadinessServer implements Disposable {
  readonly #server: Server;

  private constructor(isReady: () => boolean) {
    this.#server = createServer((_request, response) => {
      response.writeHead(isReady() ? 200 : 503, { "Content-Length": "0" });
      response.end();
    });
  }

  static create(isReady: () => boolean): ReadinessServer {
    return new ReadinessServer(isReady);
  }

  /** Listens on an address; rejects when it cannot be bound. */
  open(address: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ ...requireAddress(address) }, resolve);
    });
  }

  dispose(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
