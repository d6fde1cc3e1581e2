/**
 * Ends connections with an answer to a request that has not arrived in full.
 *
 * Closing a connection with unread bytes resets it, and its caller may lose the
 * answer. So only our direction is closed at first, and what still arrives is dropped
 * without a look at it: for a time, up to a size, and on some connections at once.
 * What is refused must not take the time that others need.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { PacedSocket } from "./paced_socket.ts";

/** Time in which a caller has read its answer, in milliseconds. */
const dropMs = 1_000;
/** Limit of the bytes that are dropped on one connection. */
const maxDroppedBytes = 16 * 1_048_576;

/** Connections whose last answer has left, while what they send is dropped. */
export class EndingConnections {
  readonly #maxAtOnce: number;
  /** In the order in which their answers left. */
  readonly #sockets = new Set<Socket>();
  #cut = 0;

  private constructor(maxAtOnce: number) {
    this.#maxAtOnce = maxAtOnce;
  }

  /** @param maxAtOnce Connections beyond which the oldest is closed at once. */
  static create(maxAtOnce: number): EndingConnections {
    return new EndingConnections(maxAtOnce);
  }

  /** Number of connections that were closed before their time, for others. */
  get cut(): number {
    return this.#cut;
  }

  /** Ends a connection whose last answer has left. */
  add(socket: Socket): void {
    if (socket.destroyed || this.#sockets.has(socket)) return;
    this.#sockets.add(socket);
    const timer = setTimeout(() => socket.destroySoon(), dropMs);
    socket.once("close", () => {
      clearTimeout(timer);
      this.#sockets.delete(socket);
    });
    let bytes = 0;
    socket.end();
    PacedSocket.find(socket)?.drop((dropped) => {
      bytes += dropped;
      if (bytes > maxDroppedBytes) socket.destroySoon();
    });
    this.#cutOldest();
  }

  #cutOldest(): void {
    const [oldest] = this.#sockets;
    if (this.#sockets.size <= this.#maxAtOnce || oldest === undefined) return;
    this.#cut += 1;
    this.#sockets.delete(oldest);
    oldest.destroy();
  }
}

/** Connections of servers that end theirs in this way. */
const endings = new WeakMap<Socket, EndingConnections>();

/** Sets where a connection is ended once its last answer has left. */
export function setEnding(socket: Socket, ending: EndingConnections): void {
  endings.set(socket, ending);
}

/** An answer that is sent at once. */
export interface WholeAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | number>>;
  readonly body: string;
}

/**
 * Sends an answer, unless one has begun. It ends the connection if the body of its
 * request is still to come, as nobody reads that.
 */
export function sendWhole(response: ServerResponse, answer: WholeAnswer): void {
  if (response.headersSent || response.destroyed) return;
  if (isArriving(response.req)) return sendLast(response, answer);
  response.writeHead(answer.status, answer.headers);
  response.end(answer.body);
}

/** Sends an answer that ends its connection, unless one has begun. */
export function sendLast(
  response: ServerResponse,
  { status, headers, body }: WholeAnswer,
): void {
  if (response.headersSent || response.destroyed) return;
  const { socket } = response.req;
  // Nothing that follows on the connection is a request of its own any more.
  PacedSocket.find(socket)?.stop();
  response.setHeader("Connection", "close");
  response.writeHead(status, headers);
  // The answer to HEAD has no body that would take the head with it.
  response.flushHeaders();
  response.write(body, () => endAnswered(socket));
}

/** Whether the body of a request has not arrived in full. */
function isArriving({ complete, headers }: IncomingMessage): boolean {
  const hasBody = headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
  return hasBody && !complete;
}

/** Sends text that ends a connection on which no request is in work. */
export function endWithText(connection: Duplex, text: string): void {
  if (!(connection instanceof Socket)) return void connection.end(text);
  PacedSocket.find(connection)?.stop();
  connection.write(text, () => endAnswered(connection));
}

function endAnswered(socket: Socket): void {
  const ending = endings.get(socket);
  if (ending === undefined) socket.destroySoon();
  else ending.add(socket);
}
