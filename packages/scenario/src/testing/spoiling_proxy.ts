/**
 * TCP proxy that spoils single bytes of what its target sends, or breaks it off.
 */

import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { requireAddress } from "@almondcrank/common/address.ts";
import type { Random } from "@almondcrank/common/random.ts";

/** Bytes that parsers of heads, numbers and texts dislike, and any other. */
const oddBytes: readonly number[] = [0, 9, 10, 13, 32, 34, 58, 92, 127, 255];
/** Share of chunks that are spoiled, broken off or reset. */
const spoiledShare = 0.3;
const brokenShare = 0.03;

/** Running proxy. */
export class SpoilingProxy {
  readonly #server: Server;
  readonly #random: Random;
  readonly #sockets = new Set<Socket>();
  /** Whether bytes are spoiled from now on. */
  isSpoiling = false;

  private constructor(target: string, random: Random) {
    this.#random = random;
    this.#server = createServer((caller) => this.#join(caller, target));
  }

  static async open(target: string, random: Random): Promise<SpoilingProxy> {
    const proxy = new SpoilingProxy(target, random);
    proxy.#server.listen(0, "127.0.0.1");
    await once(proxy.#server, "listening");
    return proxy;
  }

  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #join(caller: Socket, target: string): void {
    const { host, port } = requireAddress(target);
    const server = connect(port, host);
    for (const socket of [caller, server]) {
      this.#sockets.add(socket);
      socket.on("error", () => undefined);
      socket.on("close", () => {
        this.#sockets.delete(socket);
        caller.destroy();
        server.destroy();
      });
    }
    caller.pipe(server);
    server.on("data", (chunk: Buffer) => this.#send(caller, chunk));
    server.on("end", () => caller.end());
  }

  #send(caller: Socket, chunk: Buffer): void {
    const draw = this.isSpoiling ? this.#random.next() : 1;
    if (draw < brokenShare) return void caller.resetAndDestroy();
    if (draw < 2 * brokenShare) {
      return void caller.end(chunk.subarray(0, this.#pickOffset(chunk)));
    }
    if (draw < spoiledShare) chunk[this.#pickOffset(chunk)] = this.#pickByte();
    caller.write(chunk);
  }

  #pickOffset({ length }: Buffer): number {
    return this.#random.nextInt(length);
  }

  #pickByte(): number {
    const any = this.#random.nextInt(256);
    return oddBytes[this.#random.nextInt(2 * oddBytes.length)] ?? any;
  }
}
