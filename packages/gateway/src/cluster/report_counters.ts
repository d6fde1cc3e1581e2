/**
 * Counters of a report in one map, so that they can be added and subtracted.
 */

import type { CounterEntry, PeerReport } from "./peer_messages.ts";

/** Cumulative counters or changes of them, by kind and name. */
export type Counters = ReadonlyMap<string, number>;

/** Kinds of counters; the first part of a counter's key. */
export type CounterKind = "cost" | "requests" | "retries" | "work" | "tally";

/** Level of each tenant's token bucket, for a report that is composed. */
export type ReadLevel = (tenant: string) => number;

type CounterLists = Pick<
  PeerReport,
  "allowances" | "budgets" | "work" | "tallies"
>;

/** Reads the counters of a report. */
export function readCounters(report: CounterLists): Counters {
  const counters = new Map<string, number>();
  for (const [tenant, , cost] of report.allowances) {
    counters.set(`cost/${tenant}`, cost);
  }
  for (const [service, requests, retries] of report.budgets) {
    counters.set(`requests/${service}`, requests);
    counters.set(`retries/${service}`, retries);
  }
  for (const [service, ms] of report.work) {
    counters.set(`work/${service}`, ms);
  }
  for (const [name, sum] of report.tallies) {
    counters.set(`tally/${name}`, sum);
  }
  return counters;
}

/** Composes the lists of a report from counters. */
export function composeCounterLists(
  counters: Counters,
  readLevel: ReadLevel,
): CounterLists {
  const allowances: CounterEntry[] = [];
  const budgets: CounterEntry[] = [];
  const work: CounterEntry[] = [];
  const tallies: [string, number][] = [];
  for (const [key, value] of counters) {
    const { kind, name } = parseCounterKey(key);
    switch (kind) {
      case "cost":
        allowances.push([name, readLevel(name), Math.round(value)]);
        break;
      case "requests": {
        const retries = counters.get(`retries/${name}`) ?? 0;
        budgets.push([name, Math.round(value), Math.round(retries)]);
        break;
      }
      case "retries":
        break;
      case "work":
        work.push([name, Math.round(value), 0]);
        break;
      case "tally":
        tallies.push([name, Math.round(value)]);
        break;
    }
  }
  return { allowances, budgets, work, tallies };
}

/** Parses the key of a counter. */
export function parseCounterKey(
  key: string,
): { readonly kind: CounterKind; readonly name: string } {
  const slash = key.indexOf("/");
  const kind = key.slice(0, slash) as CounterKind;
  return { kind, name: key.slice(slash + 1) };
}

/** Adds changes to counters. */
export function addCounters(
  counters: Map<string, number>,
  changes: Counters,
): void {
  for (const [key, change] of changes) {
    counters.set(key, (counters.get(key) ?? 0) + change);
  }
}

/** Subtracts counters; a key that is missing in `base` counts from 0. */
export function subtractCounters(counters: Counters, base: Counters): Counters {
  const changes = new Map<string, number>();
  for (const [key, value] of counters) {
    const change = value - (base.get(key) ?? 0);
    if (change !== 0) changes.set(key, change);
  }
  return changes;
}
