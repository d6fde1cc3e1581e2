/**
 * Lets a server listen on an address.
 */

import type { Server } from "node:net";
import { type Address, requireAddress } from "./address.ts";

/** Options of `listen`. */
export interface ListenOptions {
  /** Connections that may wait to be accepted. */
  readonly backlog?: number;
  /** Called when the server fails later; without a listener that ends a process. */
  readonly onError: (error: Error) => void;
}

/**
 * Listens; rejects when the address is invalid or cannot be bound, and may be called
 * again then.
 */
export function listen(
  server: Server,
  address: Address,
  { onError, ...options }: ListenOptions,
): Promise<void> {
  const parts = requireAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ ...parts, ...options }, () => {
      server.off("error", reject);
      server.on("error", onError);
      resolve();
    });
  });
}
