/**
 * A TCP relay in front of a listener, so that a scenario can cut it off.
 */

import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { type Address, parseAddress } from "@almondcrank/common/address.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";

/** Relay to one address. While cut, it drops connections and takes none. */
export class Relay implements Disposable {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #cut = false;

  private constructor(server: Server) {
    this.#server = server;
  }

  static async open(target: Address): Promise<Relay> {
    const server = createServer();
    const relay = new Relay(server);
    server.on("connection", (socket) => relay.#join(socket, target));
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    return relay;
  }

  get address(): Address {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  setCut(cut: boolean): void {
    this.#cut = cut;
    if (cut) { for (const socket of this.#sockets) socket.destroy(); }
  }

  dispose(): void {
    this.setCut(true);
    this.#server.close();
  }

  #join(socket: Socket, target: Address): void {
    const parts = parseAddress(target);
    if (this.#cut || parts === undefined) {
      socket.destroy();
      return;
    }
    const onward = connect(parts.port, parts.host);
    for (const side of [socket, onward]) {
      side.setNoDelay(true);
      this.#sockets.add(side);
      side.on("error", () => side.destroy());
    }
    socket.on("close", () => this.#part(socket, onward));
    onward.on("close", () => this.#part(onward, socket));
    socket.pipe(onward);
    onward.pipe(socket);
  }

  #part(ended: Socket, other: Socket): void {
    this.#sockets.delete(ended);
    other.destroy();
  }
}
