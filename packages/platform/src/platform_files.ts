/**
 * Recognizes the platform's files by their fields.
 */

import { parseJson, readFields, readList } from "./fields.ts";

/** Kinds of files that are the platform's. */
export type PlatformFileKind = "settings" | "configuration";

/** Kind of a text; `undefined` when it is not one of the platform's files. */
export function findPlatformFileKind(
  text: string,
): PlatformFileKind | undefined {
  const fields = readFields(parseJson(text));
  if (fields === undefined) return undefined;
  if ("node-name" in fields || "machine-class" in fields) return "settings";
  return Array.isArray(fields["routes"]) ? "configuration" : undefined;
}

/** Entries of a stored configuration, usable or not. */
export interface EntryCounts {
  readonly routes: number;
  readonly services: number;
  readonly tenants: number;
}

/** Counts the entries that a configuration's text lists. */
export function countEntries(text: string): EntryCounts {
  const fields = readFields(parseJson(text)) ?? {};
  return {
    routes: readList(fields["routes"]).length,
    services: readList(fields["services"]).length,
    tenants: readList(fields["tenants"]).length,
  };
}
