/**
 * Admission control: routing, authentication and rate limiting of a request
 * before it is sent to a replica.
 *
 * The order of the checks is visible to callers. Without a configuration every
 * request is refused. Keys are checked only while the configuration is so recent
 * that withdrawn keys are missing from it. The allowance is charged last.
 */

import type { IncomingMessage } from "node:http";
import type { LogFields } from "@almondcrank/common/logs.ts";
import type {
  Route,
  Service,
  Tenant,
} from "@almondcrank/model/configuration.ts";
import {
  authorizationHeader,
  keyScheme,
  parseTokenCount,
  tokenCountHeader,
} from "@almondcrank/platform/headers.ts";
import type {
  Charge,
  TenantRateLimiter,
} from "../limits/tenant_rate_limiter.ts";
import type { RouteTable } from "../routes/route_table.ts";
import { composeLocalReply, type LocalReply } from "./local_reply.ts";

const retryWithoutConfigurationMs = 500;
const retryWithoutServiceMs = 500;
const minRateLimitRetryMs = 100;

/** State of the node that admission depends on, read at each request. */
export interface AdmissionContext {
  /** Undefined until the first configuration has arrived. */
  readonly routes: RouteTable | undefined;
  /** Whether the configuration is recent enough to trust its keys. */
  readonly hasFreshConfiguration: boolean;
  /** Time since the copy last matched the store; infinite if it never did. */
  readonly configurationAgeMs: number;
  /** Random number in [0, 1) that chooses among the targets of a route. */
  readonly draw: number;
}

/** Route of a request, or the reply that refuses it. */
export type RoutingVerdict =
  | {
    readonly kind: "routed";
    readonly routes: RouteTable;
    readonly route: Route;
    readonly service: Service;
    readonly tenant: Tenant | undefined;
  }
  | { readonly kind: "refused"; readonly reply: LocalReply };

/** A request that has a route. */
export type Routed = Extract<RoutingVerdict, { readonly kind: "routed" }>;

/** Finds the route, tenant and service of a request, or refuses it. */
export function chooseRoute(
  request: IncomingMessage,
  context: AdmissionContext,
): RoutingVerdict {
  const { routes } = context;
  if (routes === undefined) {
    return createRefusal(503, "no_configuration", retryWithoutConfigurationMs);
  }
  const route = routes.findRoute(
    request.headers.host ?? "",
    readPath(request.url ?? "/"),
  );
  if (route === undefined) return createRefusal(404, "no_route");
  const needsKey = routes.hasTenants && !route.isPublic;
  if (needsKey && !context.hasFreshConfiguration) {
    return createRefusal(
      503,
      "stale_configuration",
      retryWithoutConfigurationMs,
    );
  }
  const key = readKey(request.headers[authorizationHeader]);
  const tenant = key === undefined ? undefined : routes.findTenant(key);
  if (needsKey && tenant === undefined) {
    return createRefusal(401, "unknown_key");
  }
  const service = routes.findService(chooseTarget(route, context.draw) ?? "");
  if (service === undefined) {
    return createRefusal(503, "no_service", retryWithoutServiceMs);
  }
  return { kind: "routed", routes, route, service, tenant };
}

/**
 * Computes what a request costs its tenant: 1 for a limit in requests, else the
 * prompt tokens plus the largest number of output tokens.
 */
function computeRequestCost(
  request: IncomingMessage,
  tenant: Tenant,
): number {
  if (tenant.unit === "requests") return 1;
  const count = parseTokenCount(readHeader(request, tokenCountHeader));
  return count === undefined
    ? tenant.defaultTokens
    : count.prompt + count.maxOutput;
}

/** Charges the tenant's rate limit; returns the refusal if it is exceeded. */
function applyRateLimit(
  rateLimiter: TenantRateLimiter,
  tenant: Tenant,
  { now, ...charge }: Charge & { readonly now: number },
): LocalReply | undefined {
  const verdict = rateLimiter.take(tenant, charge, now);
  switch (verdict.kind) {
    case "admitted":
      return undefined;
    case "over": {
      const retryMs = Math.max(minRateLimitRetryMs, verdict.retryAfterMs);
      return composeLocalReply(429, "over_allowance", retryMs);
    }
  }
}

/** Charges a request to its tenant, if it has one. */
export function chargeTenant(
  rateLimiter: TenantRateLimiter,
  request: IncomingMessage,
  { tenant, route, now }: Pick<Routed, "tenant" | "route"> & {
    readonly now: number;
  },
): { readonly cost: number; readonly refusal: LocalReply | undefined } {
  if (tenant === undefined) return { cost: 0, refusal: undefined };
  const cost = computeRequestCost(request, tenant);
  const { priority } = route;
  const refusal = applyRateLimit(rateLimiter, tenant, { cost, priority, now });
  return { cost, refusal };
}

/** Log fields that explain the admission of a request. */
export function listAdmissionFields(
  { route, tenant }: Routed,
  { routes, configurationAgeMs }: AdmissionContext,
  cost: number,
): LogFields {
  return {
    route: route.name,
    tenant: tenant?.name,
    rank: route.priority,
    cost,
    configuration: routes?.configuration.version,
    configurationAgeMs: roundAge(configurationAgeMs),
  };
}

/** Rounds an age for the log; `undefined` if it is infinite. */
export function roundAge(ms: number): number | undefined {
  return Number.isFinite(ms) ? Math.round(ms) : undefined;
}

/** Reads the first value of a header. */
export function readHeader(
  request: IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function createRefusal(
  status: LocalReply["status"],
  reason: LocalReply["reason"],
  retryAfterMs?: number,
): RoutingVerdict {
  const reply = composeLocalReply(status, reason, retryAfterMs);
  return { kind: "refused", reply };
}

function readPath(url: string): string {
  const query = url.indexOf("?");
  return query < 0 ? url : url.slice(0, query);
}

function readKey(header: string | undefined): string | undefined {
  return header?.startsWith(keyScheme)
    ? header.slice(keyScheme.length).trim()
    : undefined;
}

/** Chooses a service by the weights of the route's targets. */
function chooseTarget(route: Route, draw: number): string | undefined {
  const { targets } = route;
  if (targets.length <= 1) return targets[0]?.service;
  const total = targets.reduce((sum, target) => sum + target.weight, 0);
  let left = draw * total;
  for (const target of targets) {
    left -= target.weight;
    if (left < 0) return target.service;
  }
  return targets.at(-1)?.service;
}
