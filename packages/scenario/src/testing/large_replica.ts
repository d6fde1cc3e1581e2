/**
 * Replica whose answers are large: whole ones, streams as fast as they are read, and
 * streams whose event has no end.
 */

import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import {
  requestIdHeader,
  signatureHeader,
} from "@almondcrank/platform/headers.ts";

/** What the replica answers, except on paths that end in `small`. */
export type LargeAnswer = "whole" | "events" | "unfinished_event";

/** Running replica. */
export class LargeReplica {
  readonly #server: Server;
  readonly #bytes: number;
  readonly #answer: LargeAnswer;

  private constructor(answer: LargeAnswer, bytes: number) {
    this.#answer = answer;
    this.#bytes = bytes;
    this.#server = createServer((request, response) => {
      request.resume();
      request.on("end", () => {
        response.setHeader(
          requestIdHeader,
          String(request.headers[requestIdHeader]),
        );
        response.setHeader(signatureHeader, "seal");
        if (request.url?.endsWith("small")) response.end("small");
        else this.#send(response);
      });
    });
  }

  /** Opens a replica whose answers, or events, have some bytes. */
  static async open(answer: LargeAnswer, bytes: number): Promise<LargeReplica> {
    const replica = new LargeReplica(answer, bytes);
    replica.#server.listen(0, "127.0.0.1");
    await once(replica.#server, "listening");
    return replica;
  }

  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #send(response: ServerResponse): void {
    if (this.#answer === "whole") {
      return void response.end(Buffer.alloc(this.#bytes, "a"));
    }
    response.setHeader("Content-Type", "text/event-stream");
    response.write("id: 1\ndata: a\n\n");
    if (this.#answer === "events") return sendEvents(response, this.#bytes);
    response.write(Buffer.alloc(this.#bytes, "a"));
  }
}

/** Sends events as fast as they are read. */
function sendEvents(response: ServerResponse, bytes: number): void {
  let id = 1;
  const send = (): void => {
    if (response.destroyed) return;
    do id += 1; while (
      response.write(`id: ${id}\ndata: ${"a".repeat(bytes)}\n\n`)
    );
  };
  response.on("drain", send);
  send();
}
