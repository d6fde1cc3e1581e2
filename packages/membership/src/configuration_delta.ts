/**
 * Deltas between revisions of the configuration.
 *
 * Items are matched by name and version. Most changes touch a few items out of
 * thousands, so a delta takes a few hundred bytes where the whole configuration
 * takes a megabyte.
 */

import type { Configuration } from "@almondcrank/common/configuration.ts";

/** Changes of one kind of item. */
export interface ItemChanges<T> {
  /** Items added or replaced. */
  readonly set: readonly T[];
  /** Names of items removed. */
  readonly removed: readonly string[];
}

/** Changes that lead from revision `base` to `revision`. */
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

/** Counts the items that a delta sets or removes. */
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
  const before = new Map(base.map((item) => [createItemKey(item), item]));
  const set: T[] = [];
  for (const item of next) {
    const key = createItemKey(item);
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
  const items = new Map(base.map((item) => [createItemKey(item), item]));
  for (const key of changes.removed) items.delete(key);
  for (const item of changes.set) items.set(createItemKey(item), item);
  return [...items.values()];
}

/** Includes the version: models and adapters may have several per name. */
function createItemKey(item: Named & { readonly version?: string }): string {
  return item.version === undefined
    ? item.name
    : `${item.name}\u0000${item.version}`;
}

function isSame(a: unknown, b: unknown): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
