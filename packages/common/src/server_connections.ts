/**
 * What the connections of all HTTP servers of one process may take together.
 *
 * They are read by turns, end in a way that costs little when their requests are
 * refused, and make room for each other. Requests that run go on in either case.
 */

import type { Server } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "./clock.ts";
import {
  EndingConnections,
  endWithText,
  setEnding,
} from "./ending_connections.ts";
import type { Metrics } from "./metrics.ts";
import { type ConnectionUse, OpenConnections } from "./open_connections.ts";
import { PacedSocket } from "./paced_socket.ts";
import { ReadTurns } from "./read_turns.ts";

/** Share of a process's memory that connections of one kind may hold. */
const memoryShare = 0.05;
/** What one of them holds: a read, and about as much in the kernel. */
const connectionBytes = 131_072;

/** Limits of the connections of a process. */
export interface ConnectionLimits {
  /** Connections whose bytes may wait for a turn. */
  readonly maxWaiting?: number | undefined;
  /** Refused connections whose bytes may be dropped at once. */
  readonly maxEnding?: number | undefined;
}

/** Options of `ServerConnections.create`. */
export interface ServerConnectionsOptions extends ConnectionLimits {
  readonly clock: Clock;
  /** Memory that the process may use. */
  readonly memoryBytes: number;
}

/** How one server is guarded. */
export interface GuardedServer {
  /** Name of the listener. */
  readonly listener: string;
  /** Answer to a caller who is given up before its request was read. */
  readonly busyText: string;
  /** Connections that may be open; the server's own limit alone by default. */
  readonly maxConnections?: number;
}

/** Connections of one process. */
export class ServerConnections {
  readonly turns: ReadTurns;
  readonly ending: EndingConnections;
  /** Requests in work on each connection. */
  readonly #running = new WeakMap<Socket, number>();
  /** Connections that have brought a request which was taken. */
  readonly #admitted = new WeakSet<Socket>();
  #displaced = 0;

  private constructor(
    { clock, memoryBytes, maxWaiting, maxEnding }: ServerConnectionsOptions,
  ) {
    const room = Math.floor(memoryBytes * memoryShare / connectionBytes);
    const atOnce = Math.max(1, room);
    this.turns = ReadTurns.create({ clock, maxWaiting: maxWaiting ?? atOnce });
    this.ending = EndingConnections.create(maxEnding ?? atOnce);
  }

  static create(options: ServerConnectionsOptions): ServerConnections {
    return new ServerConnections(options);
  }

  /** Guards all connections that a server accepts from now on. */
  guard(
    server: Server,
    { listener, busyText, maxConnections = Infinity }: GuardedServer,
  ): void {
    const open = OpenConnections.create<Socket>(
      maxConnections,
      (socket) => this.#readUse(socket),
    );
    server.on("connection", (socket) => {
      setEnding(socket, this.ending);
      PacedSocket.open(socket, this.turns.open(listener), () => {
        if (this.#countRunning(socket) === 0) endWithText(socket, busyText);
      });
      open.use(socket);
      socket.once("close", () => open.remove(socket));
      const displaced = open.chooseDisplaced(socket);
      if (displaced === undefined) return;
      this.#displaced += 1;
      if (displaced === socket) endWithText(socket, busyText);
      else this.#displace(displaced);
    });
    server.on("request", ({ socket }) => open.use(socket));
    server.prependListener("request", ({ socket }, response) => {
      PacedSocket.find(socket)?.turn.recordRequest();
      this.#running.set(socket, this.#countRunning(socket) + 1);
      response.once("close", () => {
        this.#running.set(socket, this.#countRunning(socket) - 1);
      });
    });
  }

  /** Counts what a connection brings to a tenant, whose request was taken. */
  admit(socket: Socket, tenant: string): void {
    this.#admitted.add(socket);
    PacedSocket.find(socket)?.turn.joinGroup(tenant);
  }

  /** Sets the gauges of connections that are read by turns, or ending. */
  recordMetrics(metrics: Metrics, prefix = ""): void {
    metrics.setGauge(`${prefix}connections_waiting`, this.turns.waiting);
    metrics.setGauge(`${prefix}connections_given_up`, this.turns.givenUp);
    metrics.setGauge(`${prefix}connections_displaced`, this.#displaced);
    metrics.setGauge(`${prefix}endings_cut`, this.ending.cut);
  }

  #readUse(socket: Socket): ConnectionUse {
    if (this.#countRunning(socket) > 0) {
      return PacedSocket.find(socket)?.isBodyAwaited ? "arriving" : "running";
    }
    return this.#admitted.has(socket) ? "idle" : "stranger";
  }

  #displace(socket: Socket): void {
    // A caller whose request has not arrived in full is told so.
    if (this.#readUse(socket) === "arriving") {
      PacedSocket.find(socket)?.giveUp();
    } else socket.destroy();
  }

  #countRunning(socket: Socket): number {
    return this.#running.get(socket) ?? 0;
  }
}
