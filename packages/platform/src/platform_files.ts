/**
 * Recognizes the platform's file formats by their fields.
 */

import { parseJson, readFields, readList } from "./fields.ts";

/** Kinds of files in a format of the platform. */
export type PlatformFileKind = "settings" | "configuration";

/** Finds the kind of a file by its text; `undefined` for other formats. */
export function findPlatformFileKind(
  text: string,
): PlatformFileKind | undefined {
  const fields = readFields(parseJson(text));
  if (fields === undefined) return undefined;
  if ("node-name" in fields || "machine-class" in fields) return "settings";
  return Array.isArray(fields["routes"]) ? "configuration" : undefined;
}

/** Numbers of entries of a configuration's text, valid or not. */
export interface EntryCounts {
  readonly routes: number;
  readonly services: number;
  readonly tenants: number;
}

/** Counts the entries of a configuration's text. */
export function countEntries(text: string): EntryCounts {
  const fields = readFields(parseJson(text)) ?? {};
  return {
    routes: readList(fields["routes"]).length,
    services: readList(fields["services"]).length,
    tenants: readList(fields["tenants"]).length,
  };
}
