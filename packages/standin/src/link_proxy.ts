/**
 * TCP proxy on loopback that injects faults of a network link.
 *
 * A cut link keeps its connections open and holds their bytes, like packets that
 * TCP retransmits; they arrive when the cut ends.
 */

import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { formatAddress, parseAddress } from "@almondcrank/common/address.ts";

/** Fault of a link. */
export type LinkFault =
  | { readonly kind: "none" }
  /** Each chunk arrives `ms` milliseconds later. */
  | { readonly kind: "delay"; readonly ms: number }
  /** Nothing passes in either direction. */
  | { readonly kind: "cut" }
  /** Bytes to the target pass, bytes from it do not. */
  | { readonly kind: "cut_answers" }
  /** Open connections are reset once, new ones when they open. */
  | { readonly kind: "reset" };

interface Connection {
  readonly caller: Socket;
  readonly target: Socket;
}

/** Link to one target. */
export class LinkProxy {
  readonly #server: Server;
  readonly #target: { readonly host: string; readonly port: number };
  readonly #connections = new Set<Connection>();
  #fault: LinkFault = { kind: "none" };

  private constructor(target: string) {
    const address = parseAddress(target);
    if (address === undefined) throw new Error(`${target} is not an address`);
    this.#target = address;
    this.#server = createServer((caller) => this.#open(caller));
  }

  /** Listens at a loopback address and forwards to `target`. */
  static async open(
    target: string,
    listenAddress = "127.0.0.1:0",
  ): Promise<LinkProxy> {
    const proxy = new LinkProxy(target);
    proxy.#server.listen({ ...parseAddress(listenAddress) });
    await once(proxy.#server, "listening");
    return proxy;
  }

  /** Address at which this link reaches the target. */
  get address(): string {
    const { address, port } = this.#server.address() as AddressInfo;
    return formatAddress(address, port);
  }

  /** Replaces the link's fault; held bytes pass once no fault holds them. */
  setFault(fault: LinkFault): void {
    this.#fault = fault;
    for (const connection of this.#connections) this.#applyFault(connection);
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    for (const { caller, target } of this.#connections) {
      caller.destroy();
      target.destroy();
    }
  }

  #open(caller: Socket): void {
    const target = connect(this.#target.port, this.#target.host);
    const connection = { caller, target };
    this.#connections.add(connection);
    caller.setNoDelay(true);
    target.setNoDelay(true);
    this.#forward(caller, target);
    this.#forward(target, caller);
    caller.on("close", () => this.#connections.delete(connection));
    this.#applyFault(connection);
  }

  #forward(from: Socket, to: Socket): void {
    from.on("data", (bytes) => this.#runDelayed(() => to.write(bytes)));
    from.on("end", () => this.#runDelayed(() => to.end()));
    // A connection that fails on one side is reset on the other.
    from.on("error", () => reset(to));
    from.on("close", () => this.#runDelayed(() => to.destroy()));
  }

  #runDelayed(action: () => void): void {
    if (this.#fault.kind === "delay") setTimeout(action, this.#fault.ms);
    else action();
  }

  #applyFault({ caller, target }: Connection): void {
    switch (this.#fault.kind) {
      case "none":
      case "delay":
        caller.resume();
        target.resume();
        return;
      case "cut":
        caller.pause();
        target.pause();
        return;
      case "cut_answers":
        caller.resume();
        target.pause();
        return;
      case "reset":
        reset(caller);
        reset(target);
        return;
    }
  }
}

/** Resets a connection; closes it if its sending side has ended already. */
function reset(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
