/**
 * Differences between revisions of the configuration.
 *
 * Items are compared by name. Most changes touch a few items of thousands, so a
 * delta is a few hundred bytes where the whole is a megabyte.
 */

import type { Configuration } from "@almondcrank/common/configuration.ts";

/** Changes of one kind of item. */
export interface ItemChanges<T> {
  /** Items added or replaced. */
  readonly set: readonly T[];
  /** Names of items removed. */
  readonly removed: readonly string[];
}

/** What leads from revision `base` to `revision`. */
export interface ConfigurationDelta {
  readonly base: number;
  readonly revision: number;
  readonly teams: ItemChanges<Configuration["teams"][number]>;
  readonly models: ItemChanges<Configuration["models"][number]>;
  readonly adapters: ItemChanges<Configuration["adapters"][number]>;
  readonly services: ItemChanges<Configuration["services"][number]>;
  readonly endpoints: ItemChanges<Configuration["endpoints"][number]>;
}

interface Named {
  readonly name: string;
}

/** Computes the changes from `base` to `next`. */
export function computeDelta(
  base: Configuration,
  next: Configuration,
): ConfigurationDelta {
  return {
    base: base.revision,
    revision: next.revision,
    teams: computeItemChanges(base.teams, next.teams),
    models: computeItemChanges(base.models, next.models),
    adapters: computeItemChanges(base.adapters, next.adapters),
    services: computeItemChanges(base.services, next.services),
    endpoints: computeItemChanges(base.endpoints, next.endpoints),
  };
}

/** Applies a delta; undefined when it does not start at `base`. */
export function applyDelta(
  base: Configuration,
  delta: ConfigurationDelta,
): Configuration | undefined {
  if (delta.base !== base.revision) return undefined;
  return {
    revision: delta.revision,
    teams: applyItemChanges(base.teams, delta.teams),
    models: applyItemChanges(base.models, delta.models),
    adapters: applyItemChanges(base.adapters, delta.adapters),
    services: applyItemChanges(base.services, delta.services),
    endpoints: applyItemChanges(base.endpoints, delta.endpoints),
  };
}

/** Number of items a delta carries. */
export function countDeltaItems(delta: ConfigurationDelta): number {
  const parts = [
    delta.teams,
    delta.models,
    delta.adapters,
    delta.services,
    delta.endpoints,
  ];
  let total = 0;
  for (const part of parts) total += part.set.length + part.removed.length;
  return total;
}

function computeItemChanges<T extends Named>(
  base: readonly T[],
  next: readonly T[],
): ItemChanges<T> {
  const before = new Map(base.map((item) => [itemKey(item), item]));
  const set: T[] = [];
  for (const item of next) {
    const key = itemKey(item);
    const old = before.get(key);
    before.delete(key);
    if (old !== item && !isSame(old, item)) set.push(item);
  }
  return { set, removed: [...before.keys()] };
}

function applyItemChanges<T extends Named>(
  base: readonly T[],
  changes: ItemChanges<T>,
): readonly T[] {
  if (changes.set.length === 0 && changes.removed.length === 0) return base;
  const items = new Map(base.map((item) => [itemKey(item), item]));
  for (const key of changes.removed) items.delete(key);
  for (const item of changes.set) items.set(itemKey(item), item);
  return [...items.values()];
}

/** Models and adapters may stand in several versions under one name. */
function itemKey(item: Named & { readonly version?: string }): string {
  return item.version === undefined
    ? item.name
    : `${item.name}\u0000${item.version}`;
}

function isSame(a: unknown, b: unknown): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
