/**
 * Reverse proxy in front of a node that breaks one promise at every tenth request.
 *
 * It stands for a node with that fault and shows that the soak's checks find it.
 */

import {
  createServer,
  type IncomingMessage,
  request,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { signatureHeader } from "@almondcrank/platform/headers.ts";

/** Faults that the proxy can have. */
export const plantedFaults = [
  "books_twice",
  "drops_event",
  "ends_early",
  "refuses_falsely",
] as const;
/** A fault of a proxy, which the checks must find. */
export type PlantedFault = (typeof plantedFaults)[number];

const faultInterval = 10;

/** Proxy with faults. */
export class FaultyProxy {
  readonly #server: Server;
  readonly #node: string;
  readonly #faults: ReadonlySet<PlantedFault>;
  #requests = 0;

  private constructor(node: string, faults: readonly PlantedFault[]) {
    this.#node = node;
    this.#faults = new Set(faults);
    this.#server = createServer((incoming, outgoing) =>
      void this.#forward(incoming, outgoing)
    );
  }

  /** Listens on loopback; `node` is the node's address for callers. */
  static async open(
    node: string,
    faults: readonly PlantedFault[],
  ): Promise<FaultyProxy> {
    const proxy = new FaultyProxy(node, faults);
    await new Promise<void>((resolve) =>
      proxy.#server.listen(0, "127.0.0.1", resolve)
    );
    return proxy;
  }

  /** Address on which the proxy listens. */
  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #forward(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    this.#requests += 1;
    const isFaulty = this.#requests % faultInterval === 0;
    const body = await readBody(incoming);
    const isBooking = (incoming.url ?? "").startsWith("/book/");
    if (isFaulty && isBooking && this.#faults.has("books_twice")) {
      await this.#send(incoming, body).catch(() => undefined);
    }
    try {
      const answer = await this.#send(incoming, body);
      this.#answer(outgoing, answer, isFaulty);
    } catch {
      // The node failed, so the caller sees a closed connection.
      outgoing.destroy();
    }
  }

  #answer(
    outgoing: ServerResponse,
    answer: BufferedResponse,
    isFaulty: boolean,
  ): void {
    if (
      isFaulty && answer.status === 200 && this.#faults.has("refuses_falsely")
    ) {
      outgoing.writeHead(503, { "Retry-After": "1" });
      outgoing.end();
      return;
    }
    outgoing.writeHead(answer.status, answer.headers);
    outgoing.end(isFaulty ? this.#spoilText(answer.text) : answer.text);
  }

  #spoilText(text: string): string {
    const spoiled = this.#faults.has("drops_event")
      ? text.replace(/id: 3\n[^\n]*\n\n/, "")
      : text;
    return this.#faults.has("ends_early")
      ? spoiled.slice(0, spoiled.length / 2)
      : spoiled;
  }

  #send(incoming: IncomingMessage, body: string): Promise<BufferedResponse> {
    const [host, port] = this.#node.split(":");
    return new Promise((resolve, reject) => {
      const sent = request({
        host,
        port,
        path: incoming.url,
        method: incoming.method,
        headers: incoming.headers,
        agent: false,
      });
      sent.on("error", reject);
      sent.on("response", (answer) => {
        answer.on("error", reject);
        void readBody(answer).then((text) =>
          resolve({
            status: answer.statusCode ?? 0,
            headers: pickHeaders(answer),
            text,
          }), reject);
      });
      sent.end(body);
    });
  }
}

interface BufferedResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly text: string;
}

function pickHeaders(answer: IncomingMessage): Record<string, string> {
  const seal = answer.headers[signatureHeader];
  return seal === undefined ? {} : { [signatureHeader]: String(seal) };
}

async function readBody(message: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of message) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString("utf8");
}
