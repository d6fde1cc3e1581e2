/**
 * Stand-in of the platform's cloud address: records usage reports and orders.
 */

import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { readBody, sendJson } from "./store_standin.ts";

/** One call of a duty. */
export interface DutyCall {
  readonly path: string;
  readonly holder: string;
  readonly fencing: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** One cloud address. */
export class CloudStandin {
  readonly #server: Server;
  readonly #calls: DutyCall[] = [];
  /** Status of the next answers. */
  status = 200;

  private constructor() {
    this.#server = createServer(async (request, response) => {
      const body = JSON.parse(await readBody(request) || "{}");
      this.#calls.push({
        path: request.url ?? "",
        holder: String(request.headers["x-duty-holder"]),
        fencing: Number(request.headers["x-fencing-token"]),
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

  /** Calls to one path, oldest first. */
  listCalls(path: string): readonly DutyCall[] {
    return this.#calls.filter((call) => call.path === path);
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
