/**
 * Pool of keep-alive connections to one replica.
 *
 * This uses the agent of Node.js because undici treats a reset as the end of a
 * response without a length, and such a response must not look complete.
 *
 * An idle connection that receives data is closed, since the data is an
 * unsolicited response. Idle connections are closed half a second before the
 * idle timeout that the replica announces, so that no request is sent on a
 * connection that the replica is closing.
 */

import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";

const idleMarginMs = 500;
const defaultIdleMs = 4_000;
const keepAliveTimeoutPattern = /timeout=(\d+)/;

type Listener = () => void;

/** Opens a connection to a replica; without one, Node.js does. */
export type OpenConnection = (
  target: { readonly host: string; readonly port: number },
) => Socket;

/** HTTP agent of one replica. */
export class ReplicaAgent extends Agent {
  /** Listeners that close an idle connection on data or timeout. */
  readonly #closeListeners = new WeakMap<Duplex, Listener>();
  #idleMs = defaultIdleMs;

  private constructor(maxConnections: number) {
    super({
      keepAlive: true,
      scheduling: "lifo",
      maxSockets: maxConnections,
      noDelay: true,
    });
  }

  static create(
    maxConnections: number,
    openConnection?: OpenConnection,
  ): ReplicaAgent {
    const agent = new ReplicaAgent(maxConnections);
    if (openConnection !== undefined) {
      const createConnection = (
        { host, port }: { readonly host: string; readonly port: number },
      ): Socket => openConnection({ host, port });
      Object.assign(agent, { createConnection });
    }
    return agent;
  }

  /** Records the idle timeout that a `Keep-Alive` header announces. */
  recordKeepAlive(header: string | undefined): void {
    const seconds = keepAliveTimeoutPattern.exec(header ?? "")?.[1];
    if (seconds !== undefined) this.#idleMs = Number(seconds) * 1_000;
  }

  override keepSocketAlive(socket: Duplex): boolean {
    const idleMs = Math.min(defaultIdleMs, this.#idleMs - idleMarginMs);
    if (idleMs <= 0) return false;
    const closeSocket = (): void => void socket.destroy();
    this.#closeListeners.set(socket, closeSocket);
    socket.on("data", closeSocket);
    (socket as Socket).setTimeout(idleMs, closeSocket);
    return true;
  }

  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    const closeSocket = this.#closeListeners.get(socket);
    if (closeSocket !== undefined) {
      socket.off("data", closeSocket);
      socket.off("timeout", closeSocket);
      this.#closeListeners.delete(socket);
    }
    (socket as Socket).setTimeout(0);
    super.reuseSocket(socket, request);
  }
}
