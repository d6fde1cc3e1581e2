/**
 * UDP socket between nodes.
 */

import { createSocket, type Socket } from "node:dgram";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import {
  decodePeerMessage,
  encodePeerMessage,
  type PeerHeader,
  type PeerMessage,
} from "./peer_messages.ts";

/** Where a link listens. */
export interface PeerSocketOptions {
  readonly ip: string;
  /** Port of all nodes. */
  readonly port: number;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Socket of one node. */
export class PeerSocket implements Disposable {
  readonly #options: PeerSocketOptions;
  readonly #socket: Socket;
  readonly #received = Emitter.create<PeerMessage>();
  #sendFailures = 0;

  private constructor(options: PeerSocketOptions) {
    this.#options = options;
    this.#socket = createSocket({ type: "udp4", reuseAddr: false });
  }

  /** Binds the socket; rejects when the port is taken. */
  static open(options: PeerSocketOptions): Promise<PeerSocket> {
    const link = new PeerSocket(options);
    return new Promise((resolve, reject) => {
      link.#socket.once("error", reject);
      link.#socket.bind(options.port, options.ip, () => {
        link.#socket.off("error", reject);
        link.#start();
        resolve(link);
      });
    });
  }

  /** Fired for each datagram that can be read. */
  readonly onReceived: Event<PeerMessage> = this.#received.event;

  /**
   * Sends a datagram; losses are not reported.
   *
   * @param report Encoded report, if it carries one.
   */
  send(head: PeerHeader, report: Buffer | undefined, ip: string): void {
    const bytes = encodePeerMessage(head, report);
    this.#options.metrics.count("peer_bytes_sent_total", {}, bytes.length);
    this.#socket.send(bytes, this.#options.port, ip, (error) => {
      if (error === null) return;
      this.#sendFailures += 1;
      if (this.#sendFailures > 1) return;
      const { log } = this.#options;
      log.warn("a datagram could not be sent.", { ip, reason: error.message });
    });
  }

  dispose(): void {
    this.#received.dispose();
    this.#socket.close();
  }

  #start(): void {
    const { log } = this.#options;
    this.#socket.on("error", (error) => {
      log.warn("the peers' socket failed.", { reason: error.message });
    });
    this.#socket.on("message", (bytes) => {
      const message = decodePeerMessage(bytes);
      if (message !== undefined) this.#received.fire(message);
    });
  }
}
