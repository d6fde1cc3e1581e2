/**
 * Example of a configuration as an operator writes it to the platform's
 * metadata store: one model service, one booking service and one tenant.
 */

/** API key of the only tenant. */
export const tenantKey = "key-of-garages";
/** Hostname of all routes. */
export const exampleHostname = "api.example";

/** Deviations from the default example. */
export interface ExampleConfigurationOptions {
  readonly keys?: readonly string[];
  readonly rate?: number;
  readonly burst?: number;
  readonly timeoutMs?: number;
  /** Largest body of a request, in bytes; 64 KiB by default. */
  readonly maxBodyBytes?: number;
  readonly routes?: readonly unknown[];
}

/** Creates an example configuration with a version and deviations. */
export function createExampleConfiguration(
  version: number,
  {
    keys = [tenantKey],
    rate = 0,
    burst = 0,
    timeoutMs = 3_000,
    maxBodyBytes = 65_536,
    routes = [],
  }: ExampleConfigurationOptions,
): unknown {
  const base = {
    hostname: exampleHostname,
    "timeout-ms": timeoutMs,
    "target-latency-ms": 100,
    priority: 1,
    public: false,
  };
  return {
    version,
    routes: [
      {
        ...base,
        "path-prefix": "/answer/",
        "route-kind": "stream",
        service: "models",
        "max-attempts": 2,
        "stream-resume": true,
        "gap-target-ms": 800,
      },
      {
        ...base,
        "path-prefix": "/once/",
        "route-kind": "stream",
        service: "models",
        "max-attempts": 1,
        "stream-resume": false,
        "gap-target-ms": 800,
      },
      {
        ...base,
        "path-prefix": "/book/",
        "route-kind": "unsafe",
        service: "booking",
        "max-attempts": 1,
      },
      {
        ...base,
        "path-prefix": "/lookup/",
        "route-kind": "safe",
        service: "booking",
        "max-attempts": 2,
        public: true,
      },
      ...routes,
    ],
    services: [
      {
        name: "models",
        "max-conns": 100,
        engine: { slots: 8, "kv-capacity": 100_000, stride: 1, moves: true },
      },
      { name: "booking", "max-conns": 100 },
    ],
    limits: {
      "max-header-bytes": 16_384,
      "max-body-bytes": maxBodyBytes,
      "header-timeout-ms": 1_000,
      "idle-timeout-ms": 5_000,
    },
    tenants: [{
      name: "garages",
      "api-keys": keys,
      unit: "token_stream",
      "uncached-tokens": 10,
      "rate-per-s": rate,
      burst,
    }],
  };
}
