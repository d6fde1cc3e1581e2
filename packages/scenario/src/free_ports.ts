/**
 * Free TCP ports of the loopback interface.
 *
 * They are below the ephemeral port range, so that no outgoing connection takes
 * one between the check and its use. The process id determines the first port,
 * so that test processes that run at the same time use different ones.
 */

import { createServer, type Server } from "node:net";
import process from "node:process";

const lowestPort = 10_000;
const highestPort = 32_000;
const portsPerProcess = 100;

let nextPort = lowestPort +
  (process.pid * portsPerProcess) % (highestPort - lowestPort);

/**
 * Finds `count` ports that nobody listens on and that it has not returned yet.
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = nextPort;
    nextPort = nextPort + 1 >= highestPort ? lowestPort : nextPort + 1;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  const isListening = await listenOnPort(server, port);
  if (isListening) await new Promise((resolve) => server.close(resolve));
  return isListening;
}

function listenOnPort(server: Server, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => resolve(true));
  });
}
