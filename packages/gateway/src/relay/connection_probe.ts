/**
 * Finds out whether anything accepts connections at an address.
 */

import { connect } from "node:net";
import { requireAddress } from "@almondcrank/common/address.ts";
import type { OpenConnection } from "./replica_agent.ts";

/** How a connection is tried. */
export interface ConnectionProbeOptions {
  readonly timeoutMs: number;
  /** Opens the connection; without it, Node.js does. */
  readonly openConnection?: OpenConnection | undefined;
}

/** Opens a connection and closes it again; false if none was established in time. */
export function acceptsConnection(
  address: string,
  { timeoutMs, openConnection = connect }: ConnectionProbeOptions,
): Promise<boolean> {
  const socket = openConnection(requireAddress(address));
  return new Promise((resolve) => {
    const finish = (accepts: boolean): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(accepts);
    };
    const timer = setTimeout(() => finish(false), timeoutMs);
    socket.once("connect", () => finish(true));
    socket.once("error", () => finish(false));
    socket.once("close", () => finish(false));
  });
}
