/**
 * HTTP server that can be closed under load.
 *
 * Node.js closes idle connections when a server closes, and counts a connection
 * as idle whose answer was handed over but has not left yet, and one whose next
 * request has arrived but was not read yet. Closing these cuts answers off.
 */

import {
  type IncomingMessage,
  Server,
  type ServerOptions,
  type ServerResponse,
} from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { waitForPoll } from "./poll_phase.ts";

const idleCheckMs = 25;

/** Server whose close cuts no answer off. */
export class DrainableServer extends Server {
  /** Responses whose connections have not finished with them. */
  readonly #responses = new Set<ServerResponse>();

  private constructor(options: ServerOptions) {
    super(options);
    this.on("request", (_request: IncomingMessage, response) => {
      this.#responses.add(response);
      response.once("close", () => this.#responses.delete(response));
    });
  }

  static create(options: ServerOptions): DrainableServer {
    return new DrainableServer(options);
  }

  /** Whether an answer was handed over that has not left completely. */
  get isSending(): boolean {
    for (const response of this.#responses) {
      if (response.writableEnded && !response.writableFinished) return true;
    }
    return false;
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
    if (!this.isSending) super.closeIdleConnections();
  }
}
