/**
 * The configuration in force: what release notes add up to.
 *
 * Plain data shared by all packages. `revision` is the version of the head
 * object in the platform's object API; it only ever grows.
 */

import type { Address } from "./address.ts";

/** A customer's team. Callers present a bearer key of which only the hash is kept. */
export interface Team {
  readonly name: string;
  /** Hex SHA-256 of the team's bearer key. */
  readonly keyHash: string;
  /** 0 (first) to 9 (last to be served, first to be shed). */
  readonly priority: number;
  /** Weight of the team's share when demand exceeds capacity. */
  readonly share: number;
}

/** A model version that engines can load. */
export interface Model {
  readonly name: string;
  readonly version: string;
  /** Size of the weights in bytes. */
  readonly weightBytes: number;
}

/** A fine-tuned adapter of a model. */
export interface Adapter {
  readonly name: string;
  readonly version: string;
  readonly model: string;
}

/** Latency contract of a model service, in milliseconds. */
export interface LatencyTarget {
  readonly firstTokenMs: number;
  readonly betweenTokensMs: number;
}

/** Service answered by model engines. */
export interface ModelService {
  readonly kind: "model";
  readonly name: string;
  readonly model: string;
  readonly adapters: readonly string[];
  readonly target: LatencyTarget;
  readonly timeoutMs: number;
  readonly maxOutputTokens: number;
}

/** Service answered by plain HTTP endpoints. */
export interface PlainService {
  readonly kind: "plain";
  readonly name: string;
  /** Methods whose calls may be repeated. */
  readonly idempotentMethods: readonly string[];
  readonly timeoutMs: number;
}

export type Service = ModelService | PlainService;

/** Whether a host may be reclaimed. */
export type Market = "reclaimable" | "on_demand";

/** One back end of a service. */
export interface Endpoint {
  readonly name: string;
  readonly service: string;
  readonly address: Address;
  readonly host: string;
  /** Data centre. */
  readonly zone: string;
  readonly machineClass: string;
  readonly market: Market;
  /** Whether the endpoint refuses orders with an old fencing number. */
  readonly checksFencing: boolean;
  /** Set for hosts that the system rented itself; release notes do not list them. */
  readonly isRented?: true;
}

/** Everything in force at one revision. */
export interface Configuration {
  readonly revision: number;
  readonly teams: readonly Team[];
  readonly models: readonly Model[];
  readonly adapters: readonly Adapter[];
  readonly services: readonly Service[];
  readonly endpoints: readonly Endpoint[];
}

/** Configuration before the first release note. */
export const emptyConfiguration: Configuration = {
  revision: 0,
  teams: [],
  models: [],
  adapters: [],
  services: [],
  endpoints: [],
};

/** Read access to the configuration in force. */
export interface ConfigurationSource {
  current(): Configuration;
}
