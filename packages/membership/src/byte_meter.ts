/**
 * Counts bytes that sockets of one owner have carried, HTTP headers included.
 */

import type { Socket } from "node:net";

/** Bytes carried so far. */
export interface ByteCount {
  readonly sent: number;
  readonly received: number;
}

/** Adds up the bytes of open and of closed sockets. */
export class ByteMeter {
  readonly #open = new Set<Socket>();
  #sent = 0;
  #received = 0;

  static create(): ByteMeter {
    return new ByteMeter();
  }

  /** Counts `socket` from its first byte on. */
  add(socket: Socket): void {
    this.#open.add(socket);
    socket.once("close", () => {
      if (!this.#open.delete(socket)) return;
      this.#sent += socket.bytesWritten;
      this.#received += socket.bytesRead;
    });
  }

  /** Number of open sockets. */
  get openSockets(): number {
    return this.#open.size;
  }

  read(): ByteCount {
    let sent = this.#sent;
    let received = this.#received;
    for (const socket of this.#open) {
      sent += socket.bytesWritten;
      received += socket.bytesRead;
    }
    return { sent, received };
  }
}
