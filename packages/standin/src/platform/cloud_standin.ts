/**
 * Stand-in for the platform's cloud address. It records the calls of the nodes
 * that hold a duty, such as usage reports.
 */

import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { readBody, sendJson } from "./store_standin.ts";

/** One call by a node that holds a duty. */
export interface DutyCall {
  readonly path: string;
  readonly holder: string;
  readonly fencingToken: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Running stand-in for a cloud address. */
export class CloudStandin {
  readonly #server: Server;
  readonly #calls: DutyCall[] = [];
  /** HTTP status of the answers from now on. */
  status = 200;

  private constructor() {
    this.#server = createServer(async (request, response) => {
      const body = JSON.parse(await readBody(request) || "{}");
      this.#calls.push({
        path: request.url ?? "",
        holder: String(request.headers["x-duty-holder"]),
        fencingToken: Number(request.headers["x-fencing-token"]),
        body,
      });
      sendJson(response, this.status, {});
    });
  }

  static async open(): Promise<CloudStandin> {
    const standin = new CloudStandin();
    await new Promise<void>((resolve) =>
      standin.#server.listen(0, "127.0.0.1", resolve)
    );
    return standin;
  }

  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Lists the calls to one path, oldest first. */
  listCalls(path: string): readonly DutyCall[] {
    return this.#calls.filter((call) => call.path === path);
  }

  /** Closes the listener and all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
