/**
 * Server whose answers never end: it sends as fast as its caller reads, until
 * the caller closes.
 */

import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** Where an answer goes on without end. */
export type EndlessPart =
  | "head"
  /** Interim answers, status 103. */
  | "interim"
  /** A body that ends when its connection closes. */
  | "body"
  | "chunks"
  | "chunk_extension"
  | "trailers"
  /** The body of an answer 500. */
  | "error_body"
  /** The body of an answer 503 that states that the request did not run. */
  | "declined_body";

interface EndlessText {
  readonly status: string;
  /** Further header lines, up to where the filler begins. */
  readonly head: string;
  readonly filler: string;
}

const fillerBytes = 16_384;
const filler = "f".repeat(fillerBytes);
const fillerLine = `X-Filler: ${"f".repeat(1_000)}\r\n`;
const fillerChunk = `${fillerBytes.toString(16)}\r\n${filler}\r\n`;
const chunkedHead = "Transfer-Encoding: chunked\r\n\r\n";

/** Running server. */
export class EndlessServer {
  readonly #server: Server;
  readonly #connections = new Set<Socket>();
  #answers = 0;

  private constructor(part: EndlessPart) {
    this.#server = createServer((socket) => {
      this.#connections.add(socket);
      socket.on("error", () => undefined);
      socket.on("close", () => this.#connections.delete(socket));
      socket.once("data", (request) => {
        this.#answers += 1;
        void sendWithoutEnd(socket, part, findRequestId(request));
      });
    });
  }

  static async open(part: EndlessPart): Promise<EndlessServer> {
    const server = new EndlessServer(part);
    server.#server.listen(0, "127.0.0.1");
    await once(server.#server, "listening");
    return server;
  }

  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Number of answers begun. */
  get answers(): number {
    return this.#answers;
  }

  /** Number of connections that no side has closed. */
  get openConnections(): number {
    return this.#connections.size;
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#connections) socket.destroy();
  }
}

async function sendWithoutEnd(
  socket: Socket,
  part: EndlessPart,
  requestId: string,
): Promise<void> {
  const text = composeText(part);
  socket.write(
    `HTTP/1.1 ${text.status}\r\nX-Request-Id: ${requestId}\r\n` +
      `X-Server-Seal: s\r\n${text.head}`,
  );
  const filler = Buffer.from(text.filler);
  while (!socket.destroyed) {
    const isDrained = socket.write(filler);
    if (!isDrained) await waitDrained(socket);
    await new Promise((resolve) => setImmediate(resolve));
  }
}

function waitDrained(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    socket.once("drain", resolve);
    socket.once("close", () => resolve());
  });
}

function composeText(part: EndlessPart): EndlessText {
  const status = "200 OK";
  switch (part) {
    case "head":
      return { status, head: "", filler: fillerLine };
    case "interim": {
      const interim = "HTTP/1.1 103 Early Hints\r\nX-Filler: f\r\n\r\n";
      return { status: "103 Early Hints", head: "\r\n", filler: interim };
    }
    case "body":
      return { status, head: "\r\n", filler };
    case "chunks":
      return { status, head: chunkedHead, filler: fillerChunk };
    case "chunk_extension":
      return { status, head: `${chunkedHead}1;`, filler };
    case "trailers":
      return { status, head: `${chunkedHead}0\r\n`, filler: fillerLine };
    case "error_body":
      return { status: "500 Failed", head: "\r\n", filler };
    case "declined_body": {
      const head = `X-Not-Executed: 1\r\n${chunkedHead}`;
      return { status: "503 Full", head, filler: fillerChunk };
    }
  }
}

function findRequestId(request: Buffer): string {
  return /^x-request-id: (.*)\r$/im.exec(request.toString("latin1"))?.[1] ?? "";
}
