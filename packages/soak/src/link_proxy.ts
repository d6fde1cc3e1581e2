/**
 * TCP proxy on loopback that misbehaves as a network link does.
 *
 * A link that is cut keeps its connections and holds their bytes, as packets that
 * are sent again and again; they arrive when the cut is over.
 */

import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { parseAddress } from "@almondcrank/common/address.ts";

/** What a link does with its bytes. */
export type LinkFault =
  | { readonly kind: "none" }
  /** Each piece arrives later. */
  | { readonly kind: "delay"; readonly ms: number }
  /** Nothing passes in either direction. */
  | { readonly kind: "cut" }
  /** Requests pass and answers do not. */
  | { readonly kind: "cut_answers" }
  /** Open connections are reset once and new ones as they come. */
  | { readonly kind: "reset" };

interface Pipe {
  readonly caller: Socket;
  readonly target: Socket;
}

/** One link. */
export class LinkProxy {
  readonly #server: Server;
  readonly #target: { readonly host: string; readonly port: number };
  readonly #pipes = new Set<Pipe>();
  #fault: LinkFault = { kind: "none" };

  private constructor(target: string) {
    const address = parseAddress(target);
    if (address === undefined) throw new Error(`${target} is not an address`);
    this.#target = address;
    this.#server = createServer((caller) => this.#open(caller));
  }

  /** Listens on loopback and forwards to `target`. */
  static async open(target: string): Promise<LinkProxy> {
    const proxy = new LinkProxy(target);
    await new Promise<void>((resolve) =>
      proxy.#server.listen(0, "127.0.0.1", resolve)
    );
    return proxy;
  }

  /** Address at which the target is reached through this link. */
  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Sets what the link does from now on; held bytes go on at its end. */
  setFault(fault: LinkFault): void {
    this.#fault = fault;
    for (const pipe of this.#pipes) this.#applyFault(pipe);
  }

  close(): void {
    this.#server.close();
    for (const { caller, target } of this.#pipes) {
      caller.destroy();
      target.destroy();
    }
  }

  #open(caller: Socket): void {
    const target = connect(this.#target.port, this.#target.host);
    const pipe = { caller, target };
    this.#pipes.add(pipe);
    caller.setNoDelay(true);
    target.setNoDelay(true);
    this.#forward(caller, target);
    this.#forward(target, caller);
    caller.on("close", () => this.#pipes.delete(pipe));
    this.#applyFault(pipe);
  }

  #forward(from: Socket, to: Socket): void {
    from.on("data", (bytes) => this.#runLater(() => to.write(bytes)));
    from.on("end", () => this.#runLater(() => to.end()));
    // A connection that broke on one side breaks on the other.
    from.on("error", () => reset(to));
    from.on("close", () => this.#runLater(() => to.destroy()));
  }

  #runLater(action: () => void): void {
    if (this.#fault.kind === "delay") setTimeout(action, this.#fault.ms);
    else action();
  }

  #applyFault({ caller, target }: Pipe): void {
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

/** A connection whose sending side was ended cannot be reset any more. */
function reset(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
