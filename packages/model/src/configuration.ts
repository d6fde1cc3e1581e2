/**
 * Configuration of routes: which requests go to which service, for which tenants,
 * and within which limits.
 */

/**
 * Whether a request that may have run can be sent again: `safe` ones can, `unsafe`
 * ones cannot. A `stream` may be resumed only if its route is resumable.
 */
export type RouteKind = "safe" | "unsafe" | "stream";

/** A service and its share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Share relative to the route's other targets. */
  readonly weight: number;
}

/** Rules for the requests of one host below one path. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time until the answer is complete. */
  readonly timeoutMs: number;
  /** Latency objective: to the whole answer, for streams to the first event. */
  readonly objectiveMs: number;
  /** Priority; 0 is the highest. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Largest number of replicas to which one request may be sent. */
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  /** Whether a stream may resume on another replica after its last event. */
  readonly isResumable: boolean;
  /** Longest time between two events of a stream that is on time. */
  readonly maxEventGapMs: number;
}

/** Properties of the model engines of a service. */
export interface EngineTraits {
  /** Requests that run at once. */
  readonly slots: number;
  /** Capacity of the KV cache. */
  readonly cacheTokens: number;
  /** Output tokens in one event. */
  readonly tokensPerEvent: number;
  /** Whether a running request can be moved to another replica. */
  readonly canMove: boolean;
}

/** Bounds and prices of a service's replicas. */
export interface ScalingLimits {
  /** Smallest and largest number of replicas in each zone, of both kinds together. */
  readonly minPerZone: number;
  readonly maxPerZone: number;
  readonly bootSeconds: number;
  /** Price of a reclaimable replica relative to one on demand. */
  readonly reclaimablePrice: number;
  /** Price of one replica per second, by zone. */
  readonly zonePrices: ReadonlyMap<string, number>;
}

/** A group of interchangeable replicas. */
export interface Service {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one replica accepts from all nodes. */
  readonly maxConnections: number;
  readonly engine?: EngineTraits;
  readonly scaling?: ScalingLimits;
}

/** A team with its API keys, priority and allowance. */
export interface Tenant {
  readonly name: string;
  readonly keys: readonly string[];
  /** Priority that takes precedence over the route's. */
  readonly priority?: number;
  /** Unit of the allowance. */
  readonly unit: "requests" | "tokens";
  /** Cost of a request that states no token count. */
  readonly defaultTokens: number;
  /** Allowance per second for the whole system; 0 means no limit. */
  readonly ratePerSecond: number;
  /** Capacity of the token bucket. */
  readonly burst: number;
}

/** Limits on the size and the pace of callers' requests. */
export interface RequestLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the configuration; a higher version replaces a lower one. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Undefined if requests need no keys. */
  readonly tenants?: readonly Tenant[];
  readonly limits: RequestLimits;
}
