/**
 * The configuration: plain data that all packages share.
 *
 * Release notes define it, and the system adds the endpoints that it rents
 * itself. Its `revision` is a version in the platform's object API and never
 * decreases.
 */

import type { Address } from "./address.ts";

/** A customer's team. Only the hash of its bearer key is stored. */
export interface Team {
  readonly name: string;
  /** Hex SHA-256 of the team's bearer key. */
  readonly keyHash: string;
  /** 0 (served first) to 9 (served last and shed first). */
  readonly priority: number;
  /** Weight of the team in sharing capacity when demand exceeds it. */
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

/**
 * Latency target of a model service: time to first token, time between tokens.
 */
export interface LatencyTarget {
  readonly firstTokenMs: number;
  readonly betweenTokensMs: number;
}

/** Service whose endpoints are model engines. */
export interface ModelService {
  readonly kind: "model";
  readonly name: string;
  readonly model: string;
  readonly adapters: readonly string[];
  readonly target: LatencyTarget;
  /** Longest time a request may take. */
  readonly timeoutMs: number;
  /** Upper limit of the tokens that one answer may have. */
  readonly maxOutputTokens: number;
}

/** Service whose endpoints are plain HTTP servers. */
export interface PlainService {
  readonly kind: "plain";
  readonly name: string;
  /** HTTP methods whose calls may be retried. */
  readonly idempotentMethods: readonly string[];
  readonly timeoutMs: number;
}

/** A service of either kind. */
export type Service = ModelService | PlainService;

/** Whether the platform may take a host back at short notice. */
export type Market = "reclaimable" | "on_demand";

/** One endpoint of a service. */
export interface Endpoint {
  readonly name: string;
  readonly service: string;
  readonly address: Address;
  readonly host: string;
  /** Data centre. */
  readonly zone: string;
  readonly machineClass: string;
  readonly market: Market;
  /** Whether the endpoint refuses orders with an old fencing token. */
  readonly checksFencing: boolean;
  /**
   * Set for endpoints on hosts that the system rented; release notes lack
   * these.
   */
  readonly isRented?: true;
}

/** The configuration at one revision. */
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
