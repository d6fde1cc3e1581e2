/**
 * UDP socket for datagrams between nodes.
 */

import { createSocket, type Socket } from "node:dgram";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { StreamOrigin } from "../choice/stream_origins.ts";
import { decodeOrigins } from "./origin_messages.ts";
import {
  decodePeerMessage,
  encodePeerMessage,
  type PeerHeader,
  type PeerMessage,
} from "./peer_messages.ts";

/** Address and dependencies of a socket. */
export interface PeerSocketOptions {
  readonly ip: string;
  /** Port that all nodes use. */
  readonly port: number;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Peer socket of one node. */
export class PeerSocket implements Disposable {
  readonly #options: PeerSocketOptions;
  readonly #socket: Socket;
  readonly #received = Emitter.create<PeerMessage>();
  readonly #origins = Emitter.create<ReadonlyMap<string, StreamOrigin>>();
  #sendFailures = 0;

  private constructor(options: PeerSocketOptions) {
    this.#options = options;
    this.#socket = createSocket({ type: "udp4", reuseAddr: false });
  }

  /** Binds the socket; rejects when the port is taken. */
  static open(options: PeerSocketOptions): Promise<PeerSocket> {
    const peerSocket = new PeerSocket(options);
    return new Promise((resolve, rejectOpen) => {
      const reject = (error: Error): void => {
        peerSocket.dispose();
        rejectOpen(error);
      };
      peerSocket.#socket.once("error", reject);
      peerSocket.#socket.bind(options.port, options.ip, () => {
        peerSocket.#socket.off("error", reject);
        peerSocket.#start();
        resolve(peerSocket);
      });
    });
  }

  /** Fired for each datagram that can be decoded. */
  readonly onReceived: Event<PeerMessage> = this.#received.event;

  /** Fired for each datagram that tells the origins of streams. */
  readonly onOrigins: Event<ReadonlyMap<string, StreamOrigin>> =
    this.#origins.event;

  /**
   * Sends a report without confirmation.
   *
   * @param report Encoded report to append, if any.
   */
  send(header: PeerHeader, report: Buffer | undefined, ip: string): void {
    this.sendBytes(encodePeerMessage(header, report), ip);
  }

  /** Sends a datagram without confirmation; only the first failure is logged. */
  sendBytes(bytes: Buffer, ip: string): void {
    this.#options.metrics.count("peer_bytes_sent_total", {}, bytes.length);
    this.#socket.send(bytes, this.#options.port, ip, (error) => {
      if (error === null) return;
      this.#sendFailures += 1;
      if (this.#sendFailures > 1) return;
      const { log } = this.#options;
      log.warn("a datagram to a peer could not be sent.", {
        ip,
        reason: error.message,
      });
    });
  }

  dispose(): void {
    this.#received.dispose();
    this.#origins.dispose();
    this.#socket.close();
  }

  #start(): void {
    const { log } = this.#options;
    this.#socket.on("error", (error) => {
      log.warn("the UDP socket for peers failed.", { reason: error.message });
    });
    this.#socket.on("message", (bytes) => {
      const origins = decodeOrigins(bytes);
      if (origins !== undefined) return this.#origins.fire(origins);
      const message = decodePeerMessage(bytes);
      if (message !== undefined) this.#received.fire(message);
    });
  }
}
