/**
 * HTTP server that can be closed under load.
 *
 * Node.js closes idle connections when a server closes, and counts a connection
 * as idle whose answer was handed over but has not left yet, and one whose next
 * request has arrived but was not read yet. Closing these cuts answers off.
 *
 * It also takes a head for late that arrived in time but was not read, since the
 * event loop stood still, and would serve it although the caller was refused.
 */

import {
  IncomingMessage,
  Server,
  type ServerOptions,
  type ServerResponse,
} from "node:http";
import { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";
import { PacedSocket } from "./paced_socket.ts";
import { waitForPoll } from "./poll_phase.ts";

const idleCheckMs = 25;

const headTimeoutCode = "ERR_HTTP_REQUEST_TIMEOUT";

/** Server whose close cuts no answer off. */
export class DrainableServer extends Server {
  /** Requests that each connection has brought. */
  readonly #requestCounts = new WeakMap<Duplex, number>();
  /** Connections whose callers were refused for a late head. */
  readonly #refused = new WeakSet<Duplex>();
  /** Responses whose connections have not finished with them. */
  readonly #responses = new Set<ServerResponse>();
  readonly #sockets = new Set<Socket>();

  private constructor(options: ServerOptions) {
    super(options);
    this.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
    });
    this.on("request", (_request: IncomingMessage, response) => {
      this.#responses.add(response);
      response.once("close", () => this.#responses.delete(response));
    });
  }

  static create(options: ServerOptions): DrainableServer {
    return new DrainableServer(options);
  }

  override emit(event: string | symbol, ...args: unknown[]): boolean {
    const [first, second] = args;
    if (event === "request" && first instanceof IncomingMessage) {
      const { socket } = first;
      this.#requestCounts.set(socket, this.#countRequests(socket) + 1);
      // It crossed the refusal, which says that it does not run.
      if (this.#refused.has(socket)) return true;
    }
    if (event === "clientError" && isHeadTimeout(first)) {
      void this.#refuseLateHead(first, second as Duplex);
      return true;
    }
    return super.emit(event as string, ...args);
  }

  /** Refuses a connection unless a request has arrived on it in time. */
  async #refuseLateHead(error: Error, connection: Duplex): Promise<void> {
    const count = this.#countRequests(connection);
    do await waitForPoll(); while (isWaiting(connection));
    if (this.#countRequests(connection) > count) return;
    this.#refused.add(connection);
    super.emit("clientError", error, connection);
  }

  #countRequests(connection: Duplex): number {
    return this.#requestCounts.get(connection) ?? 0;
  }

  /** Whether an answer was handed over that has not left completely. */
  get isSending(): boolean {
    for (const response of this.#responses) {
      if (response.writableEnded && !response.writableFinished) return true;
    }
    return false;
  }

  /** Whether a request may have arrived that waits for its turn to be read. */
  get #isReading(): boolean {
    return [...this.#sockets].some((socket) =>
      PacedSocket.find(socket)?.isWaitingCheaply
    );
  }

  /** Responses to requests that have no answer yet. */
  listUnanswered(): readonly ServerResponse[] {
    return [...this.#responses].filter(({ headersSent }) => !headersSent);
  }

  /**
   * Stops accepting connections, and closes each one once it is idle; resolves
   * when all have ended.
   */
  async drain(): Promise<void> {
    let isClosed = false;
    await waitForPoll();
    this.close(() => isClosed = true);
    while (!isClosed) {
      await sleep(idleCheckMs);
      await waitForPoll();
      this.closeIdleConnections();
    }
  }

  /**
   * Closes idle connections, but none while an answer is being sent. Call it after
   * `waitForPoll`, so that requests that have arrived were read.
   */
  override closeIdleConnections(): void {
    if (!this.isSending && !this.#isReading) super.closeIdleConnections();
  }
}

function isWaiting(connection: Duplex): boolean {
  return connection instanceof Socket &&
    PacedSocket.find(connection)?.isWaiting === true;
}

function isHeadTimeout(error: unknown): error is Error {
  return error instanceof Error && "code" in error &&
    error.code === headTimeoutCode;
}
