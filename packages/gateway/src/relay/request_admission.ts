/**
 * Decides whether a request may go to a service, before it is sent anywhere.
 *
 * The order matters to callers: without a configuration nothing can be said of
 * a request; a key is judged only while the configuration is fresh enough for a
 * withdrawn key to be known; the allowance is charged last.
 */

import type { IncomingMessage } from "node:http";
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
const minAllowanceRetryMs = 100;

/** What is believed at the moment of a request. */
export interface AdmissionContext {
  /** Undefined while no configuration is known. */
  readonly routes: RouteTable | undefined;
  /** Whether a key's withdrawal would be known by now. */
  readonly hasFreshConfiguration: boolean;
  /** Time since the configuration surely was the store's; may be infinite. */
  readonly configurationAgeMs: number;
  /** Uniform in [0, 1); draws the target of a split route. */
  readonly draw: number;
}

/** A request's route, or the answer that refuses it. */
export type RoutingVerdict =
  | {
    readonly kind: "routed";
    readonly routes: RouteTable;
    readonly route: Route;
    readonly service: Service;
    readonly tenant: Tenant | undefined;
  }
  | { readonly kind: "refused"; readonly answer: LocalReply };

/** Finds a request's route, tenant and service. */
export function chooseRoute(
  request: IncomingMessage,
  view: AdmissionContext,
): RoutingVerdict {
  const { routes } = view;
  if (routes === undefined) {
    return createRefusal(503, "no_configuration", retryWithoutConfigurationMs);
  }
  const route = routes.findRoute(
    request.headers.host ?? "",
    readPath(request.url ?? "/"),
  );
  if (route === undefined) return createRefusal(404, "no_route");
  const needsKey = routes.hasTenants && !route.isPublic;
  if (needsKey && !view.hasFreshConfiguration) {
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
  const service = routes.findService(chooseTarget(route, view.draw) ?? "");
  if (service === undefined) {
    return createRefusal(503, "no_service", retryWithoutServiceMs);
  }
  return { kind: "routed", routes, route, service, tenant };
}

/** What a request takes out of its tenant's allowance. */
export function computeRequestCost(
  request: IncomingMessage,
  tenant: Tenant,
): number {
  if (tenant.unit === "requests") return 1;
  const count = parseTokenCount(readHeader(request, tokenCountHeader));
  return count === undefined
    ? tenant.defaultTokens
    : count.prompt + count.maxOutput;
}

/** Charges the tenant's allowance; the answer when it is used up. */
export function takeAllowance(
  allowances: TenantRateLimiter,
  tenant: Tenant,
  { now, ...charge }: Charge & { readonly now: number },
): LocalReply | undefined {
  const verdict = allowances.take(tenant, charge, now);
  switch (verdict.kind) {
    case "admitted":
      return undefined;
    case "over": {
      const retryMs = Math.max(minAllowanceRetryMs, verdict.retryAfterMs);
      return composeLocalReply(429, "over_allowance", retryMs);
    }
  }
}

/** One value of a header. */
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
  const answer = composeLocalReply(status, reason, retryAfterMs);
  return { kind: "refused", answer };
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

/** Draws a service by the weights of the route's targets. */
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
