/**
 * Kept connections to one replica.
 *
 * Node's agent is used, not undici takes a reset for the end of an
 * answer that has no length, and such an answer must not look complete.
 *
 * A kept connection on which bytes arrive while nothing is asked carries a stray
 * answer and is closed. Connections are given up half a second before the
 * replica's announced idle timeout, so that a request does not meet the close.
 */

import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";

const idleMarginMs = 500;
const defaultIdleMs = 4_000;
const keepAliveTimeoutPattern = /timeout=(\d+)/;

type Listener = () => void;

/** Agent of one replica. */
export class ReplicaAgent extends Agent {
  readonly #strayListeners = new WeakMap<Duplex, Listener>();
  #idleMs = defaultIdleMs;

  private constructor(maxConnections: number) {
    super({
      keepAlive: true,
      scheduling: "lifo",
      maxSockets: maxConnections,
      noDelay: true,
    });
  }

  static create(maxConnections: number): ReplicaAgent {
    return new ReplicaAgent(maxConnections);
  }

  /** Takes note of the idle timeout that an answer's header announces. */
  recordKeepAlive(header: string | undefined): void {
    const seconds = keepAliveTimeoutPattern.exec(header ?? "")?.[1];
    if (seconds !== undefined) this.#idleMs = Number(seconds) * 1_000;
  }

  override keepSocketAlive(socket: Duplex): boolean {
    const idleMs = Math.min(defaultIdleMs, this.#idleMs - idleMarginMs);
    if (idleMs <= 0) return false;
    const onStray = (): void => void socket.destroy();
    this.#strayListeners.set(socket, onStray);
    socket.on("data", onStray);
    (socket as Socket).setTimeout(idleMs, onStray);
    return true;
  }

  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    const onStray = this.#strayListeners.get(socket);
    if (onStray !== undefined) {
      socket.off("data", onStray);
      socket.off("timeout", onStray);
      this.#strayListeners.delete(socket);
    }
    (socket as Socket).setTimeout(0);
    super.reuseSocket(socket, request);
  }
}
