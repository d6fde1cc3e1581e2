/**
 * Configuration of the routes interface: which requests go to which service,
 * for which tenants, and within which limits.
 */

/** What may be repeated. A `stream` may be resumed only where its route says. */
export type RouteKind = "safe" | "unsafe" | "stream";

/** A service and its share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Share relative to the route's other targets. */
  readonly weight: number;
}

/** Requests of one host below one path. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time until the final answer. */
  readonly timeoutMs: number;
  /** Latency objective: to the whole answer, for streams to the first event. */
  readonly objectiveMs: number;
  /** Rank, 0 first. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Most replicas to which one request may be sent. */
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  /** Whether a stream may go on at another replica after its last event. */
  readonly isResumable: boolean;
  /** Longest pause between events of a stream that is on time. */
  readonly maxEventGapMs: number;
}

/** Properties of the model engines of a service. */
export interface EngineTraits {
  /** Requests that run at once. */
  readonly slots: number;
  readonly cacheTokens: number;
  /** Output tokens in one event. */
  readonly tokensPerEvent: number;
  /** Whether a running request can be moved to another replica. */
  readonly canMove: boolean;
}

/** Bounds and prices of a service's replicas. */
export interface ScalingLimits {
  /** Fewest and most replicas in each zone, of both kinds together. */
  readonly minPerZone: number;
  readonly maxPerZone: number;
  readonly bootSeconds: number;
  /** Price of a reclaimable replica relative to one on demand. */
  readonly reclaimablePrice: number;
  /** Price of a replica second by zone. */
  readonly zonePrices: ReadonlyMap<string, number>;
}

/** A set of replicas that answer alike. */
export interface Service {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one replica accepts from all nodes. */
  readonly maxConnections: number;
  readonly engine?: EngineTraits;
  readonly scaling?: ScalingLimits;
}

/** A team with keys, a rank and an allowance. */
export interface Tenant {
  readonly name: string;
  readonly keys: readonly string[];
  /** Rank that takes precedence over the route's. */
  readonly priority?: number;
  /** What the allowance counts. */
  readonly unit: "requests" | "tokens";
  /** Tokens charged for a request that states none. */
  readonly defaultTokens: number;
  /** Allowance a second over all nodes; 0 means no limit. */
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Bounds on what a caller may send. */
export interface RequestLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One accepted configuration; a higher version replaces a lower one. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Undefined where no keys are asked for. */
  readonly tenants?: readonly Tenant[];
  readonly limits: RequestLimits;
}
