/**
 * Addresses, settings and release notes of a scenario's fleet.
 */

import { computeKeyHash } from "@almondcrank/common/hashing.ts";

/** Number of nodes, endpoints and zones of a fleet. */
export interface FleetSize {
  readonly nodes: number;
  readonly engines: number;
  readonly bookings: number;
  readonly zones: number;
  /** Settings of the engines that differ from the stand-ins' defaults. */
  readonly engineSettings?: Readonly<Record<string, number>>;
}

/** Listening addresses of a fleet, all on loopback. */
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

/** Addresses on which one node listens. */
export interface NodeAddresses {
  readonly callers: string;
  readonly peers: string;
  readonly operators: string;
}

/** Bearer key of the operators. */
export const operatorKey = "scenario-operator-key";
const peerKey = "scenario-peer-key-0123456789";
const drainMs = 4_000;
/** Model that all engines run. */
export const model = "scenario-14b";
/** Name of the service that the engines serve. */
export const modelService = "assistant";
/** Name of the plain service for bookings. */
export const plainService = "booking";

/** Teams of every scenario, by ascending priority number. */
export const teams = ["counter", "drivers", "evaluation"] as const;

/** Returns the bearer key of a team, `key-of-NAME`. */
export function formatTeamKey(team: string): string {
  return `key-of-${team}`;
}

/** Computes how many ports a fleet needs. */
export function computePortCount(size: FleetSize): number {
  return 5 + size.engines + size.bookings + 3 * size.nodes;
}

/** Assigns `ports` to the listeners of a fleet. */
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

/** Zone of a node or endpoint, numbered from 1; zones are assigned in turn. */
export function computeZone(size: FleetSize, number: number): string {
  return `zone-${(number - 1) % size.zones + 1}`;
}

/** Settings of the process that runs the stand-ins. */
export function createStandinSettings(
  size: FleetSize,
  addresses: FleetAddresses,
  seed: number,
): object {
  const placement = (number: number): object => ({
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
      ...placement(index + 1),
      models: [{ model, version: "1" }],
      ...size.engineSettings,
    })),
    plainServices: addresses.bookings.map((address, index) => ({
      name: `booking-${index + 1}`,
      address,
      service: plainService,
      market: "on_demand",
      ...placement(index + 1),
    })),
  };
}

/**
 * First release note: adds all teams, models, services and endpoints.
 *
 * Endpoints with an odd number check fencing tokens.
 */
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

/** Release note that adds one team. */
export function createTeamNote(name: string): object {
  const keyHash = computeKeyHash(formatTeamKey(name));
  return { add: { teams: [{ name, keyHash, priority: 5, share: 1 }] } };
}

/** Addresses of one node's relays. */
export interface NodeLinkAddresses {
  /** Address at which peers reach the node. */
  readonly advertisedPeers: string;
  /** Address at which the node reaches the object API. */
  readonly objectApi: string;
}

/** Settings of one node, numbered from 1. */
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
