/**
 * Checks a configuration in the store's format, for the operators' check command.
 *
 * A node ignores the entries that it cannot decode, so a fault does not stop the
 * node, but the requests that need the entry fail.
 */

import type { Configuration } from "@almondcrank/model/configuration.ts";
import { decodeConfiguration } from "@almondcrank/platform/decode_configuration.ts";
import { parseJson } from "@almondcrank/platform/fields.ts";
import { countEntries } from "@almondcrank/platform/platform_files.ts";

/** Lists the faults of a configuration's text, each with its remedy. */
export function checkConfiguration(text: string): readonly string[] {
  const configuration = decodeConfiguration(parseJson(text));
  if (configuration === undefined) {
    return ["the configuration has no version or no routes; add them"];
  }
  return [
    ...listUndecodable(text, configuration),
    ...listRouteFaults(configuration),
    ...listKeyFaults(configuration),
  ];
}

function listUndecodable(
  text: string,
  configuration: Configuration,
): readonly string[] {
  const entries = countEntries(text);
  const decoded = {
    routes: configuration.routes.length,
    services: configuration.services.length,
    tenants: configuration.tenants?.length ?? 0,
  };
  return (["routes", "services", "tenants"] as const).flatMap((kind) => {
    const missing = entries[kind] - decoded[kind];
    return missing === 0 ? [] : [
      `${missing} of ${
        entries[kind]
      } ${kind} cannot be decoded; give each a name, and routes a host, prefix and kind`,
    ];
  });
}

function listRouteFaults({ routes, services }: Configuration): string[] {
  const serviceNames = new Set(services.map((service) => service.name));
  const hostPrefixes = new Set<string>();
  return routes.flatMap((route) => {
    const faults: string[] = [];
    const hostPrefix = `${route.host}${route.pathPrefix}`;
    if (hostPrefixes.has(hostPrefix)) {
      faults.push(`${hostPrefix} has two routes; remove one of them`);
    }
    hostPrefixes.add(hostPrefix);
    if (!route.pathPrefix.startsWith("/") || !route.pathPrefix.endsWith("/")) {
      faults.push(
        `prefix "${route.pathPrefix}" must begin and end with a slash`,
      );
    }
    if (route.targets.length === 0) {
      faults.push(`route "${route.name}" has no service; name one`);
    }
    for (const { service } of route.targets) {
      if (serviceNames.has(service)) continue;
      faults.push(
        `route "${route.name}" names service "${service}", which is not listed; add it`,
      );
    }
    return faults;
  });
}

function listKeyFaults({ tenants = [] }: Configuration): readonly string[] {
  const owners = new Map<string, string>();
  return tenants.flatMap(({ name, keys }) =>
    keys.flatMap((key) => {
      const owner = owners.get(key);
      owners.set(key, name);
      return owner === undefined || owner === name ? [] : [
        `tenants "${owner}" and "${name}" have the same key; give each its own`,
      ];
    })
  );
}
