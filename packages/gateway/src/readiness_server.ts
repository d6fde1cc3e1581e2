/**
 * Answers the load balancer's question whether callers should come.
 */

import { createServer, type Server } from "node:http";
import type { Disposable } from "@almondcrank/common/disposables.ts";

/** Listener of one node. */
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
    const [host, port] = address.split(":");
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(Number(port), host, resolve);
    });
  }

  dispose(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
