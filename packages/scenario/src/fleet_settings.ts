/**
 * Settings, release note and stand-ins of a scenario's fleet.
 */

import { computeKeyHash } from "@almondcrank/common/hashing.ts";

/** Size of a fleet. */
export interface FleetSize {
  readonly nodes: number;
  readonly engines: number;
  readonly bookings: number;
  readonly zones: number;
  /** Settings of the engines beyond the stand-ins' defaults. */
  readonly engineSettings?: Readonly<Record<string, number>>;
}

/** Addresses of a fleet, all on loopback. */
export interface FleetAddresses {
  readonly objectApi: string;
  readonly hostList: string;
  readonly cloudApi: string;
  readonly weightStore: string;
  readonly control: string;
  readonly engines: readonly string[];
  readonly bookings: readonly string[];
  readonly nodes: readonly NodeAddresses[];
}

export interface NodeAddresses {
  readonly callers: string;
  readonly peers: string;
  readonly operators: string;
}

export const operatorKey = "scenario-operator-key";
const peerKey = "scenario-peer-key-0123456789";
const drainMs = 4_000;
export const model = "scenario-14b";
export const modelService = "assistant";
export const plainService = "booking";

/** Teams of every scenario; a team's key is `key-of-NAME`. */
export const teams = ["counter", "drivers", "evaluation"] as const;

/** Bearer key of a team. */
export function formatTeamKey(team: string): string {
  return `key-of-${team}`;
}

/** Ports that a fleet needs. */
export function computePortCount(size: FleetSize): number {
  return 5 + size.engines + size.bookings + 3 * size.nodes;
}

/** Lays ports out over a fleet. */
export function createAddresses(
  size: FleetSize,
  ports: readonly number[],
): FleetAddresses {
  const rest = ports.map((port) => `127.0.0.1:${port}`);
  const take = (): string => rest.shift() ?? "";
  return {
    objectApi: take(),
    hostList: take(),
    cloudApi: take(),
    weightStore: take(),
    control: take(),
    engines: Array.from({ length: size.engines }, take),
    bookings: Array.from({ length: size.bookings }, take),
    nodes: Array.from({ length: size.nodes }, () => ({
      callers: take(),
      peers: take(),
      operators: take(),
    })),
  };
}

/** Zone of the n-th node or endpoint, counted from 1. */
export function computeZone(size: FleetSize, number: number): string {
  return `zone-${(number - 1) % size.zones + 1}`;
}

/** Settings of the stand-ins. */
export function createStandinSettings(
  size: FleetSize,
  addresses: FleetAddresses,
  seed: number,
): object {
  const place = (number: number): object => ({
    zone: computeZone(size, number),
    machineClass: "gpu-l",
  });
  return {
    seed,
    control: { address: addresses.control },
    objectApi: { address: addresses.objectApi },
    hostList: { address: addresses.hostList },
    cloudApi: { address: addresses.cloudApi },
    weightStore: { address: addresses.weightStore },
    engines: addresses.engines.map((address, index) => ({
      name: `engine-${index + 1}`,
      address,
      service: modelService,
      ...place(index + 1),
      models: [{ model, version: "1" }],
      ...size.engineSettings,
    })),
    plainServices: addresses.bookings.map((address, index) => ({
      name: `booking-${index + 1}`,
      address,
      service: plainService,
      market: "on_demand",
      ...place(index + 1),
    })),
  };
}

/** First release note: everything is added. */
export function createReleaseNote(
  size: FleetSize,
  addresses: FleetAddresses,
): object {
  const endpoint = (
    name: string,
    number: number,
    rest: { readonly service: string; readonly address: string },
  ): object => ({
    name,
    host: name,
    zone: computeZone(size, number),
    machineClass: "gpu-l",
    market: rest.service === modelService ? "reclaimable" : "on_demand",
    checksFencing: number % 2 === 1,
    ...rest,
  });
  return {
    add: {
      teams: teams.map((name, priority) => ({
        name,
        keyHash: computeKeyHash(formatTeamKey(name)),
        priority,
        share: 1,
      })),
      models: [{ name: model, version: "1", weightBytes: 1_000_000 }],
      services: [
        {
          kind: "model",
          name: modelService,
          model,
          adapters: [],
          target: { firstTokenMs: 1_600, betweenTokensMs: 32 },
          timeoutMs: 30_000,
          maxOutputTokens: 512,
        },
        {
          kind: "plain",
          name: plainService,
          idempotentMethods: ["GET", "HEAD"],
          timeoutMs: 5_000,
        },
      ],
      endpoints: [
        ...addresses.engines.map((address, index) =>
          endpoint(`engine-${index + 1}`, index + 1, {
            service: modelService,
            address,
          })
        ),
        ...addresses.bookings.map((address, index) =>
          endpoint(`booking-${index + 1}`, index + 1, {
            service: plainService,
            address,
          })
        ),
      ],
    },
  };
}

/** A note that adds a team and nothing else. */
export function createTeamNote(name: string): object {
  const keyHash = computeKeyHash(formatTeamKey(name));
  return { add: { teams: [{ name, keyHash, priority: 5, share: 1 }] } };
}

/** How a node reaches what may be cut off from it. */
export interface NodeLinkAddresses {
  /** Address under which peers reach the node. */
  readonly advertisedPeers: string;
  readonly objectApi: string;
}

/** Settings of one node, counted from 1. */
export function createNodeSettings(
  size: FleetSize,
  addresses: FleetAddresses,
  node: {
    readonly number: number;
    readonly links: NodeLinkAddresses;
    readonly seeds: readonly string[];
  },
): object {
  const { number, links, seeds } = node;
  const listen = addresses.nodes[number - 1];
  return {
    node: `node-${number}`,
    zone: computeZone(size, number),
    listen: { ...listen, advertisedPeers: links.advertisedPeers },
    peers: seeds,
    peerKey,
    operatorKey,
    platform: {
      objectApi: links.objectApi,
      hostList: addresses.hostList,
      cloudApi: addresses.cloudApi,
      weightStore: addresses.weightStore,
    },
    drainMs,
    log: { level: "info", format: "text" },
  };
}
