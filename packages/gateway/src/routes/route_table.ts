/**
 * Finds the route, tenant and service of a request in one configuration.
 *
 * Prefixes are literal text that ends in a slash, so the longest match is found
 * by trying the path's slashes from the right. A router library would interpret
 * colons and stars in a prefix as patterns.
 */

import type {
  Configuration,
  Route,
  Service,
  Tenant,
} from "@almondcrank/model/configuration.ts";

/** Immutable index of one configuration. */
export class RouteTable {
  readonly configuration: Configuration;
  readonly #hosts = new Map<string, Map<string, Route>>();
  readonly #tenants = new Map<string, Tenant>();
  readonly #services = new Map<string, Service>();

  private constructor(configuration: Configuration) {
    this.configuration = configuration;
    for (const route of configuration.routes) this.#addRoute(route);
    for (const tenant of configuration.tenants ?? []) {
      for (const key of tenant.keys) this.#tenants.set(key, tenant);
    }
    for (const service of configuration.services) {
      this.#services.set(service.name, service);
    }
  }

  static create(configuration: Configuration): RouteTable {
    return new RouteTable(configuration);
  }

  /** Whether requests need a key unless their route is public. */
  get hasTenants(): boolean {
    return this.configuration.tenants !== undefined;
  }

  /** Finds the route of the host with the longest prefix of the path. */
  findRoute(host: string, path: string): Route | undefined {
    const routes = this.#hosts.get(formatHost(host));
    if (routes === undefined) return undefined;
    let end = path.lastIndexOf("/");
    while (end >= 0) {
      const route = routes.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
      end = end === 0 ? -1 : path.lastIndexOf("/", end - 1);
    }
    return undefined;
  }

  /** Finds the tenant that owns an API key. */
  findTenant(key: string): Tenant | undefined {
    return this.#tenants.get(key);
  }

  findService(name: string): Service | undefined {
    return this.#services.get(name);
  }

  #addRoute(route: Route): void {
    let routes = this.#hosts.get(route.host);
    if (routes === undefined) {
      routes = new Map();
      this.#hosts.set(route.host, routes);
    }
    routes.set(route.pathPrefix, route);
  }
}

/** Formats a host header as a host name in lower case without its port. */
function formatHost(host: string): string {
  const colon = host.indexOf(":");
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}
