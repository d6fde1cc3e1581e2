/**
 * A front before a node that breaks one promise now and then.
 *
 * Shows that the soak's checks find what they are for: it stands for a node whose
 * program has that fault.
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

/** What a faulty front does wrong. */
export const plantedFaults = [
  "books_twice",
  "drops_event",
  "refuses_falsely",
] as const;
export type PlantedFault = (typeof plantedFaults)[number];

const everyRequests = 10;

/** One front. */
export class FaultyProxy {
  readonly #server: Server;
  readonly #node: string;
  readonly #fault: PlantedFault;
  #requests = 0;

  private constructor(node: string, fault: PlantedFault) {
    this.#node = node;
    this.#fault = fault;
    this.#server = createServer((incoming, outgoing) =>
      void this.#relay(incoming, outgoing)
    );
  }

  /** Listens on loopback before a node's callers' address. */
  static async open(node: string, fault: PlantedFault): Promise<FaultyProxy> {
    const front = new FaultyProxy(node, fault);
    await new Promise<void>((resolve) =>
      front.#server.listen(0, "127.0.0.1", resolve)
    );
    return front;
  }

  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #relay(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    this.#requests += 1;
    const isHit = this.#requests % everyRequests === 0;
    const body = await readAll(incoming);
    const isBooking = (incoming.url ?? "").startsWith("/book/");
    if (isHit && isBooking && this.#fault === "books_twice") {
      await this.#send(incoming, body).catch(() => undefined);
    }
    try {
      const answer = await this.#send(incoming, body);
      this.#answer(outgoing, answer, isHit);
    } catch {
      // The node is gone; its caller sees a closed connection.
      outgoing.destroy();
    }
  }

  #answer(outgoing: ServerResponse, answer: WholeAnswer, isHit: boolean): void {
    if (isHit && answer.status === 200 && this.#fault === "refuses_falsely") {
      outgoing.writeHead(503, { "Retry-After": "1" });
      outgoing.end();
      return;
    }
    const isDropping = isHit && this.#fault === "drops_event";
    const text = isDropping
      ? answer.text.replace(/id: 3\n[^\n]*\n\n/, "")
      : answer.text;
    outgoing.writeHead(answer.status, answer.headers);
    outgoing.end(text);
  }

  #send(incoming: IncomingMessage, body: string): Promise<WholeAnswer> {
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
        void readAll(answer).then((text) =>
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

interface WholeAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly text: string;
}

function pickHeaders(answer: IncomingMessage): Record<string, string> {
  const seal = answer.headers[signatureHeader];
  return seal === undefined ? {} : { [signatureHeader]: String(seal) };
}

async function readAll(message: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of message) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString("utf8");
}
