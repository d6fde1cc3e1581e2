/**
 * Serves the node's metrics as text to whoever collects them.
 */

import { createServer, type Server } from "node:http";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type { Log } from "@almondcrank/common/logs.ts";

/** Path of the metrics. */
export const metricsPath = "/metrics";

/** What a front needs. */
export interface MetricsServerOptions {
  readonly log: Log;
  readonly format: () => string;
}

/** Listener of one node. */
export class MetricsServer implements Disposable {
  readonly #server: Server;
  readonly #log: Log;

  private constructor({ format, log }: MetricsServerOptions) {
    this.#log = log;
    this.#server = createServer((request, response) => {
      const isFound = request.url === metricsPath;
      response.writeHead(isFound ? 200 : 404, {
        "Content-Type": "text/plain; version=0.0.4; charset=utf-8",
      });
      response.end(isFound ? format() : "");
    });
  }

  static create(options: MetricsServerOptions): MetricsServer {
    return new MetricsServer(options);
  }

  /** Listens; without the port the node serves all the same, unmeasured. */
  open(host: string, port: number): Promise<void> {
    return new Promise((resolve) => {
      this.#server.on("error", (error) => {
        this.#log.warn(
          "metrics are not served, free the port and start again.",
          { port, reason: error.message },
        );
        resolve();
      });
      this.#server.listen(port, host, resolve);
    });
  }

  dispose(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
