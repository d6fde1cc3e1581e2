/**
 * Free ports of the loopback interface.
 *
 * They are taken below the range from which the system draws ports of outgoing
 * connections, so that none is taken between the check and its use.
 */

import { createServer, type Server } from "node:net";
import process from "node:process";

const lowestPort = 10_000;
const highestPort = 32_000;
const portsPerProcess = 100;

let next = lowestPort +
  (process.pid * portsPerProcess) % (highestPort - lowestPort);

/** Finds `count` ports that nobody listens on; each is given out once. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = next;
    next = next + 1 >= highestPort ? lowestPort : next + 1;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  const opened = await openServer(server, port);
  if (opened) await new Promise((resolve) => server.close(resolve));
  return opened;
}

function openServer(server: Server, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => resolve(true));
  });
}
