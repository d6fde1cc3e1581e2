/**
 * A server that answers while a long request is still sent to it: with a success that
 * has no length, a part of its body, and a reset of the connection.
 */

import { once } from "node:events";
import { type AddressInfo, createServer, type Server } from "node:net";

/** How such an answer is sent. */
export interface EarlyAnswer {
  /** Further lines of its head, each with its line end. */
  readonly headers?: string;
  /** What is sent of its body. */
  readonly part: string;
  /** Time from the answer to the reset, in milliseconds. */
  readonly resetAfterMs: number;
}

/** Server of early answers. */
export class EarlyAnswerServer {
  readonly #server: Server;

  private constructor(server: Server) {
    this.#server = server;
  }

  /** Listens on a free port of the loopback address. */
  static async open(
    { headers = "", part, resetAfterMs }: EarlyAnswer,
  ): Promise<EarlyAnswerServer> {
    const server = createServer((socket) => {
      socket.on("error", () => {});
      socket.once("data", () => {
        socket.pause();
        socket.write(`HTTP/1.1 200 OK\r\n${headers}\r\n${part}`);
        setTimeout(() => socket.resetAndDestroy(), resetAfterMs);
      });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return new EarlyAnswerServer(server);
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  close(): void {
    this.#server.close();
  }
}
