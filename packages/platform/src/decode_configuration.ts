/**
 * Decodes the operators' configuration from its format in the store.
 *
 * Entries without a required field are left out.
 */

import type {
  Configuration,
  EngineTraits,
  RequestLimits,
  Route,
  RouteTarget,
  ScalingLimits,
  Service,
  Tenant,
} from "@almondcrank/model/configuration.ts";
import {
  type Fields,
  readFields,
  readList,
  readNumber,
  readString,
  readStrings,
} from "./fields.ts";

const routeKinds = new Set(["safe", "unsafe", "stream"]);

/** Decodes a configuration; `undefined` when it has no version or routes. */
export function decodeConfiguration(value: unknown): Configuration | undefined {
  const fields = readFields(value);
  const version = readNumber(fields?.["version"]);
  if (fields === undefined || version === undefined) return undefined;
  if (!Array.isArray(fields["routes"])) return undefined;
  const tenants = fields["tenants"];
  return {
    version,
    routes: readList(fields["routes"]).flatMap(decodeRoute),
    services: readList(fields["services"]).flatMap(decodeService),
    ...(Array.isArray(tenants)
      ? { tenants: tenants.flatMap(decodeTenant) }
      : {}),
    limits: decodeLimits(readFields(fields["limits"]) ?? {}),
  };
}

/** Whether a stored configuration has a higher version than another one. */
export function isNewerConfiguration(
  stored: { readonly value: unknown },
  other: { readonly value: unknown },
): boolean {
  return readVersion(stored.value) > readVersion(other.value);
}

function readVersion(value: unknown): number {
  return readNumber(readFields(value)?.["version"]) ?? -Infinity;
}

function decodeRoute(value: unknown): readonly Route[] {
  const fields = readFields(value);
  const host = readString(fields?.["hostname"]);
  const pathPrefix = readString(fields?.["path-prefix"]);
  const kind = readString(fields?.["route-kind"]);
  if (fields === undefined || host === undefined) return [];
  if (pathPrefix === undefined || kind === undefined) return [];
  if (!routeKinds.has(kind)) return [];
  return [{
    name: readString(fields["name"]) ?? `${host}${pathPrefix}`,
    host: host.toLowerCase(),
    pathPrefix,
    kind: kind as Route["kind"],
    timeoutMs: readNumber(fields["timeout-ms"]) ?? Infinity,
    objectiveMs: readNumber(fields["target-latency-ms"]) ?? Infinity,
    priority: readNumber(fields["priority"]) ?? 0,
    targets: decodeTargets(fields),
    maxAttempts: readNumber(fields["max-attempts"]) ?? 1,
    isPublic: fields["public"] === true,
    isResumable: fields["stream-resume"] === true,
    maxEventGapMs: readNumber(fields["gap-target-ms"]) ?? Infinity,
  }];
}

function decodeTargets(fields: Fields): readonly RouteTarget[] {
  const service = readString(fields["service"]);
  if (service !== undefined) return [{ service, weight: 1 }];
  return readList(fields["traffic-split"]).flatMap((item) => {
    const target = readFields(item);
    const name = readString(target?.["service"]);
    if (name === undefined) return [];
    return [{ service: name, weight: readNumber(target?.["weight"]) ?? 0 }];
  });
}

function decodeService(value: unknown): readonly Service[] {
  const fields = readFields(value);
  const name = readString(fields?.["name"]);
  if (fields === undefined || name === undefined) return [];
  const engine = readFields(fields["engine"]);
  const scaling = readFields(fields["scaling"]);
  return [{
    name,
    healthPath: readString(fields["health-path"]) ?? "/healthz",
    maxConnections: readNumber(fields["max-conns"]) ?? Infinity,
    ...(engine ? { engine: decodeEngine(engine) } : {}),
    ...(scaling ? { scaling: decodeScaling(scaling) } : {}),
  }];
}

function decodeEngine(fields: Fields): EngineTraits {
  return {
    slots: readNumber(fields["slots"]) ?? 1,
    cacheTokens: readNumber(fields["kv-capacity"]) ?? 0,
    // "stride" is the number of output tokens in one event.
    tokensPerEvent: readNumber(fields["stride"]) ?? 1,
    canMove: fields["moves"] === true,
  };
}

function decodeScaling(fields: Fields): ScalingLimits {
  const prices = Object.entries(readFields(fields["zone-prices"]) ?? {});
  return {
    minPerZone: readNumber(fields["min"]) ?? 0,
    maxPerZone: readNumber(fields["max"]) ?? 0,
    bootSeconds: readNumber(fields["boot-s"]) ?? 0,
    reclaimablePrice: readNumber(fields["spot-price"]) ?? 1,
    zonePrices: new Map(
      prices.map(([zone, price]) => [zone, readNumber(price) ?? 1]),
    ),
  };
}

function decodeTenant(value: unknown): readonly Tenant[] {
  const fields = readFields(value);
  const name = readString(fields?.["name"]);
  if (fields === undefined || name === undefined) return [];
  const priority = readNumber(fields["priority"]);
  return [{
    name,
    keys: readStrings(fields["api-keys"]),
    ...(priority === undefined ? {} : { priority }),
    unit: fields["unit"] === "token_stream" ? "tokens" : "requests",
    // "uncached-tokens" is the cost of a request that states no token count.
    defaultTokens: readNumber(fields["uncached-tokens"]) ?? 1,
    ratePerSecond: readNumber(fields["rate-per-s"]) ?? 0,
    burst: readNumber(fields["burst"]) ?? 0,
  }];
}

function decodeLimits(fields: Fields): RequestLimits {
  return {
    maxHeaderBytes: readNumber(fields["max-header-bytes"]) ?? 16_384,
    maxBodyBytes: readNumber(fields["max-body-bytes"]) ?? 4_194_304,
    headerTimeoutMs: readNumber(fields["header-timeout-ms"]) ?? 5_000,
    idleTimeoutMs: readNumber(fields["idle-timeout-ms"]) ?? 15_000,
  };
}
