/**
 * A manifest like those of the sheets: one model service, one booking service,
 * one tenant.
 */

export const host = "ficu95.example";
export const key = "i9n73hh2b9wu3fexd9dn";
export const models = "huvo11a";
export const booking = "wuno96b";
export const kvBytes = 18_432;
export const linkMbps = 130_000;

export function composeManifest(version, { tenants, services = [] } = {}) {
  const base = { hostname: host, public: false };
  return {
    version,
    routes: [
      {
        ...base,
        name: "r-report",
        "path-prefix": "/lohu930/",
        "route-kind": "stream",
        "timeout-ms": 15_000,
        "target-latency-ms": 1_200,
        priority: 0,
        service: models,
        "max-attempts": 2,
        "session-affinity": true,
        "stream-resume": true,
        "gap-target-ms": 800,
      },
      {
        ...base,
        name: "r-answer",
        "path-prefix": "/pufi791/",
        "route-kind": "stream",
        "timeout-ms": 12_000,
        "target-latency-ms": 1_500,
        priority: 1,
        service: models,
        "max-attempts": 1,
        "session-affinity": true,
        "stream-resume": false,
        "gap-target-ms": 800,
      },
      {
        ...base,
        name: "r-book",
        "path-prefix": "/puxa403/",
        "route-kind": "unsafe",
        "timeout-ms": 1_000,
        "target-latency-ms": 100,
        priority: 2,
        service: booking,
        "max-attempts": 1,
      },
      {
        ...base,
        name: "r-lookup",
        "path-prefix": "/cufi504/",
        "route-kind": "safe",
        "timeout-ms": 1_000,
        "target-latency-ms": 100,
        priority: 2,
        service: booking,
        "max-attempts": 2,
      },
    ],
    services: [
      {
        name: models,
        "health-path": "/healthz",
        "max-conns": 370,
        protocol: "h1",
        tls: false,
        engine: {
          slots: 64,
          "kv-capacity": 551_534,
          "kv-bytes": kvBytes,
          "link-mbps": linkMbps,
          moves: true,
          backups: true,
          stride: 6,
          most: 12,
          "pin-ms": 4_000,
          "hold-ms": 2_000,
          "handle-s": 5,
          models: [{ name: "m" }],
        },
      },
      {
        name: booking,
        "health-path": "/healthz",
        "max-conns": 110,
        protocol: "h1",
        tls: false,
      },
      ...services,
    ],
    limits: {
      "max-header-bytes": 16_384,
      "max-body-bytes": 4_194_304,
      "header-timeout-ms": 3_000,
      "idle-timeout-ms": 15_000,
    },
    tenants: tenants ?? [{
      name: "hule930",
      "api-keys": [key],
      priority: 1,
      unit: "token_stream",
      "uncached-tokens": 200,
      "rate-per-s": 0,
      burst: 0,
    }],
  };
}

/** What a replica writes to the store about itself. */
export function composeEntry(replica, fields = {}) {
  return {
    service: replica.service,
    address: replica.address,
    zone: replica.zone ?? "muc-a",
    version: "v1",
    slots: replica.slots ?? 64,
    state: "ready",
    "cold-remaining-ms": 0,
    stage: "colocated",
    models: [{ name: "m", version: 1, adapters: [] }],
    "seq-no": 1,
    born: replica.born,
    ...fields,
  };
}
