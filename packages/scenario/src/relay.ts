/**
 * TCP relay in front of a listener, with which a scenario can cut it off.
 */

import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { type Address, parseAddress } from "@almondcrank/common/address.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";

/** Relays connections to one address; while cut, closes open and new ones. */
export class Relay implements Disposable {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #isCut = false;

  private constructor(server: Server) {
    this.#server = server;
  }

  /** Listens on loopback and forwards to `target`. */
  static async open(target: Address): Promise<Relay> {
    const server = createServer();
    const relay = new Relay(server);
    server.on(
      "connection",
      (socket) => relay.#handleConnection(socket, target),
    );
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    return relay;
  }

  /** Address on which the relay listens. */
  get address(): Address {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Cuts the relay, which closes its connections, or reopens it. */
  setCut(cut: boolean): void {
    this.#isCut = cut;
    if (cut) { for (const socket of this.#sockets) socket.destroy(); }
  }

  dispose(): void {
    this.setCut(true);
    this.#server.close();
  }

  #handleConnection(socket: Socket, target: Address): void {
    const targetAddress = parseAddress(target);
    if (this.#isCut || targetAddress === undefined) {
      socket.destroy();
      return;
    }
    const upstream = connect(targetAddress.port, targetAddress.host);
    for (const side of [socket, upstream]) {
      side.setNoDelay(true);
      this.#sockets.add(side);
      side.on("error", () => side.destroy());
    }
    socket.on("close", () => this.#handleClose(socket, upstream));
    upstream.on("close", () => this.#handleClose(upstream, socket));
    socket.pipe(upstream);
    upstream.pipe(socket);
  }

  #handleClose(closed: Socket, other: Socket): void {
    this.#sockets.delete(closed);
    other.destroy();
  }
}
