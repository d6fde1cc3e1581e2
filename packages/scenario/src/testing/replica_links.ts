/**
 * Links of one node to all replicas, which a test can cut.
 */

import { connect, Socket } from "node:net";
import { LinkProxy } from "@almondcrank/standin/link_proxy.ts";

/** What happens to the links of one node. */
export type LinksFault =
  | "none"
  /** Open connections are reset, new ones refused. */
  | "refuse"
  /** Open connections fall silent, new ones are never established. */
  | "hang"
  /** Open connections go on, new ones are refused. */
  | "refuse_new";

/** A port of loopback on which nothing listens. */
const closedPort = 1;

/** Links of one node. */
export class ReplicaLinks {
  readonly #proxies = new Map<string, LinkProxy>();
  #fault: LinksFault = "none";

  static create(): ReplicaLinks {
    return new ReplicaLinks();
  }

  /** Adds the link to a replica. */
  async add(address: string): Promise<void> {
    this.#proxies.set(address, await LinkProxy.open(address));
  }

  setFault(fault: LinksFault): void {
    this.#fault = fault;
    const kind = fault === "refuse"
      ? "reset"
      : fault === "hang"
      ? "cut"
      : "none";
    for (const proxy of this.#proxies.values()) proxy.setFault({ kind });
  }

  openConnection(
    { host, port }: { readonly host: string; readonly port: number },
  ): Socket {
    switch (this.#fault) {
      case "refuse":
      case "refuse_new":
        return connect(closedPort, "127.0.0.1");
      case "hang":
        return createHangingSocket();
      case "none": {
        const proxy = this.#proxies.get(`${host}:${port}`);
        const [proxyHost, proxyPort] = (proxy?.address ?? `${host}:${port}`)
          .split(":");
        return connect(Number(proxyPort), proxyHost ?? host);
      }
    }
  }

  close(): void {
    for (const proxy of this.#proxies.values()) proxy.close();
  }
}

function createHangingSocket(): Socket {
  const socket = new Socket();
  Object.defineProperty(socket, "connecting", { value: true, writable: true });
  return socket;
}
