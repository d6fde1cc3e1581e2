/**
 * HTTP server for the metrics of a node, in the Prometheus text format.
 */

import { createServer, type Server } from "node:http";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import { sendWhole } from "@almondcrank/common/ending_connections.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { ServerConnections } from "@almondcrank/common/server_connections.ts";
import { formatBareReply } from "./relay/client_error.ts";

/** Path of the metrics; all others answer 404. */
export const metricsPath = "/metrics";

/** Log and content of a metrics server. */
export interface MetricsServerOptions {
  readonly log: Log;
  /** Connections of all servers of the node. */
  readonly connections: ServerConnections;
  /** Formats the current metrics as text. */
  readonly format: () => string;
}

/** Metrics server of one node. */
export class MetricsServer implements Disposable {
  readonly #server: Server;
  readonly #log: Log;

  private constructor({ format, log, connections }: MetricsServerOptions) {
    this.#log = log;
    this.#server = createServer((request, response) => {
      const isFound = request.url === metricsPath;
      sendWhole(response, {
        status: isFound ? 200 : 404,
        headers: {
          "Content-Type": "text/plain; version=0.0.4; charset=utf-8",
        },
        body: isFound ? format() : "",
      });
    });
    connections.guard(this.#server, {
      listener: "metrics",
      busyText: formatBareReply(503, "Service Unavailable"),
    });
  }

  static create(options: MetricsServerOptions): MetricsServer {
    return new MetricsServer(options);
  }

  /** Listens; if that fails, only logs it, and the node runs without metrics. */
  open(host: string, port: number): Promise<void> {
    return new Promise((resolve) => {
      this.#server.on("error", (error) => {
        this.#log.warn(
          "metrics are not served; free the port and restart the node.",
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
