/**
 * Checks a configuration as the store holds it, for the operators' command.
 *
 * A node uses what it can read and passes over the rest, so a fault here does
 * not stop it; it stops requests.
 */

import type { Configuration } from "@almondcrank/model/configuration.ts";
import { decodeConfiguration } from "@almondcrank/platform/decode_configuration.ts";
import { parseJson } from "@almondcrank/platform/fields.ts";
import { countEntries } from "@almondcrank/platform/platform_files.ts";

/** Lists what is wrong with a configuration; each line names the remedy. */
export function checkConfiguration(text: string): readonly string[] {
  const configuration = decodeConfiguration(parseJson(text));
  if (configuration === undefined) {
    return ["the configuration has no version or no routes; add them"];
  }
  return [
    ...listUnreadable(text, configuration),
    ...listRouteFaults(configuration),
    ...listKeyFaults(configuration),
  ];
}

function listUnreadable(
  text: string,
  configuration: Configuration,
): readonly string[] {
  const listed = countEntries(text);
  const read = {
    routes: configuration.routes.length,
    services: configuration.services.length,
    tenants: configuration.tenants?.length ?? 0,
  };
  return (["routes", "services", "tenants"] as const).flatMap((kind) => {
    const missing = listed[kind] - read[kind];
    return missing === 0 ? [] : [
      `${missing} of ${
        listed[kind]
      } ${kind} cannot be read; give each its name, host, prefix and kind`,
    ];
  });
}

function listRouteFaults({ routes, services }: Configuration): string[] {
  const known = new Set(services.map((service) => service.name));
  const places = new Set<string>();
  return routes.flatMap((route) => {
    const faults: string[] = [];
    const place = `${route.host}${route.pathPrefix}`;
    if (places.has(place)) {
      faults.push(`${place} stands twice; remove one of the routes`);
    }
    places.add(place);
    if (!route.pathPrefix.startsWith("/") || !route.pathPrefix.endsWith("/")) {
      faults.push(
        `prefix "${route.pathPrefix}" must begin and end with a slash`,
      );
    }
    if (route.targets.length === 0) {
      faults.push(`route "${route.name}" has no service; name one`);
    }
    for (const { service } of route.targets) {
      if (known.has(service)) continue;
      faults.push(
        `route "${route.name}" names service "${service}", which is not listed; add it`,
      );
    }
    return faults;
  });
}

function listKeyFaults({ tenants = [] }: Configuration): readonly string[] {
  const holders = new Map<string, string>();
  return tenants.flatMap(({ name, keys }) =>
    keys.flatMap((key) => {
      const holder = holders.get(key);
      holders.set(key, name);
      return holder === undefined || holder === name ? [] : [
        `tenants "${holder}" and "${name}" hold the same key; give each its own`,
      ];
    })
  );
}
