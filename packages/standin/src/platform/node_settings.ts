/**
 * Settings files in the platform's format, for gateway nodes on loopback.
 */

import { createSocket } from "node:dgram";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import process from "node:process";

/** Addresses on which a node listens, and those of the platform's services. */
export interface NodePlace {
  readonly name: string;
  readonly ip: string;
  readonly callers: string;
  readonly readiness: string;
  readonly control: string;
  readonly peerPort: number;
  readonly storeAddress: string;
  readonly cloudAddress: string;
}

/** Ports that are the same on all nodes of a system. */
export interface SharedPorts {
  readonly control: number;
  readonly peers: number;
}

const zone = "muc-a";
/** Prefix of loopback addresses, by process id to avoid conflicts. */
const loopbackPrefix = `127.${1 + process.pid % 250}.0`;

/** Finds ports that are free on this process's loopback addresses. */
export async function findSharedPorts(): Promise<SharedPorts> {
  const ip = `${loopbackPrefix}.1`;
  return { control: await findTcpPort(ip), peers: await findUdpPort(ip) };
}

/** Chooses a loopback address and free ports for a node; `index` is from 0. */
export async function createNodePlace(
  index: number,
  ports: SharedPorts,
  platform: Pick<NodePlace, "storeAddress" | "cloudAddress">,
): Promise<NodePlace> {
  const ip = `${loopbackPrefix}.${index + 1}`;
  return {
    ...platform,
    name: `node-${index + 1}`,
    ip,
    callers: `${ip}:${await findOtherPort(ip, [ports.control])}`,
    readiness: `${ip}:${await findOtherPort(ip, [ports.control])}`,
    control: `${ip}:${ports.control}`,
    peerPort: ports.peers,
  };
}

/** Formats the settings file of one node. */
export function formatNodeSettings(
  place: NodePlace,
  { isFirstStart, memoryMb = 350, bounds = {} }: {
    readonly isFirstStart: boolean;
    readonly memoryMb?: number;
    readonly bounds?: Readonly<Record<string, unknown>>;
  },
): string {
  const settings = {
    "node-name": place.name,
    role: "gateway",
    ip: place.ip,
    zone,
    zones: { [zone]: "bayern" },
    listen: {
      frontend: place.callers,
      ready: place.readiness,
      "control-plane": place.control,
    },
    "port-range": [place.peerPort, place.peerPort + 1],
    seeds: [`${loopbackPrefix}.1:${place.control.split(":")[1]}`],
    bootstrap: isFirstStart,
    limits: { "memory-mb": memoryMb, "fd-limit": 4_100 },
    bounds: { ...defaultBounds, ...bounds },
    platform: { address: place.storeAddress },
    cloud: { address: place.cloudAddress, duties: ["metering", "autoscale"] },
  };
  return JSON.stringify(settings);
}

/** Time after which nodes that reach each other know the same. */
export const contactMs = 3_000;

const defaultBounds = {
  "contact-ms": contactMs,
  "config-apply-ms": 2_000,
  "revoke-fail-closed": true,
  "revoke-ms": 5_000,
  "drain-ms": 1_000,
  "grace-s": 6,
  "retry-budget-ratio": 0.2,
  "budget-window-s": 10,
  "budget-extra": 50,
  "quota-window-s": 8,
  "quota-overage": 0.1,
  "quota-tolerance": 1_000,
  "lease-ms": 1_500,
  "window-s": 2,
  "usage-late-s": 10,
};

/** Finds a free TCP port that is none of some others, which are not bound yet. */
async function findOtherPort(
  ip: string,
  others: readonly number[],
): Promise<number> {
  while (true) {
    const port = await findTcpPort(ip);
    if (!others.includes(port)) return port;
  }
}

/** Finds a TCP port that is free at an address. */
function findTcpPort(ip: string): Promise<number> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", reject);
    server.listen(0, ip, () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
}

/** Finds a UDP port that is free at an address. */
function findUdpPort(ip: string): Promise<number> {
  return new Promise((resolve, reject) => {
    const socket = createSocket("udp4");
    socket.once("error", reject);
    socket.bind(0, ip, () => {
      const { port } = socket.address();
      socket.close(() => resolve(port));
    });
  });
}
