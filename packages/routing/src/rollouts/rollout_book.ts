/**
 * What a node knows of the operators' orders, and which versions of a service may
 * get a request by that.
 *
 * All nodes have to hold back the same version within a second of each other,
 * although most never read the store. The record of an order is passed on from
 * node to node. Records of one order merge so that the order in which they arrive
 * does not matter: a stop and an end are never undone, and of two steps the one
 * with the higher number counts. A step that was not renewed within `stepTtlMs`
 * gives the new version nothing.
 *
 * New replicas may register before a node hears of their order. So a version is
 * held back until a holder of the duty has looked for an order for it.
 */

import { hasEnded, maxBarredVersions, type RolloutRecord } from "./rollout.ts";

/** Time from its issue for which a step is in force, in milliseconds. */
export const stepTtlMs = 2_500;
/** Time after which a version that nobody has checked is used, in milliseconds. */
const uncheckedMs = 10_000;
/**
 * Time after a completion in which stopped replicas may still be registered; later
 * ones of their version are the operators' wish.
 */
const stoppedReplicasMs = 15_000;
/** Time after which a version that is not seen any more is forgotten. */
const forgetSeenMs = 60_000;
/** Largest number of versions of a service that are kept as checked. */
const maxCheckedVersions = 8;
/** Largest number of services whose records are kept. */
const maxRecords = 32;

/** Which versions of a service may get a new request. */
export type VersionRule =
  | { readonly kind: "any" }
  /** The new version gets a share, the others all else. */
  | {
    readonly kind: "share";
    readonly to: string;
    readonly share: number;
    /** Versions that are neither the new one nor trusted. */
    readonly excluded: readonly string[];
    /** Whether the new version is used if no old one is left. */
    readonly mayFallBack: boolean;
  }
  | { readonly kind: "not"; readonly versions: readonly string[] };

interface SeenTimes {
  readonly first: number;
  last: number;
}

/** Orders that one node knows of. Times are monotonic, in milliseconds. */
export class RolloutBook {
  readonly #records = new Map<string, RolloutRecord>();
  /** Versions for which a holder found no order, by service. */
  readonly #checked = new Map<string, Set<string>>();
  /** Times at which this node first and last saw a version of a service. */
  readonly #seen = new Map<string, Map<string, SeenTimes>>();

  static create(): RolloutBook {
    return new RolloutBook();
  }

  find(service: string): RolloutRecord | undefined {
    return this.#records.get(service);
  }

  list(): readonly RolloutRecord[] {
    return [...this.#records.values()];
  }

  /** Replaces the record of a service. */
  set(record: RolloutRecord): void {
    const { service, to } = record.order;
    this.#records.delete(service);
    this.#records.set(service, record);
    this.#checked.get(service)?.delete(to);
    if (hasEnded(record)) this.recordChecked(service, [to]);
    const [oldest] = this.#records.keys();
    const isOver = this.#records.size > maxRecords && oldest !== undefined;
    if (isOver) this.#records.delete(oldest);
  }

  /** Merges the record of another node; returns whether it changed anything. */
  learn(told: RolloutRecord, now: number): boolean {
    const known = this.find(told.order.service);
    const merged = known === undefined ? told : mergeRecords(known, told);
    if (merged === known) return false;
    const endedAt = merged.endedAt ?? now;
    this.set(hasEnded(merged) ? { ...merged, endedAt } : merged);
    return true;
  }

  /** Stops giving the new version requests, at once and for good. */
  stop(service: string, reason: string): void {
    const record = this.find(service);
    if (record === undefined || hasEnded(record)) return;
    if (record.stopReason !== undefined) return;
    this.set({ ...record, stopReason: reason });
  }

  /** Records versions for which a holder found no order in progress. */
  recordChecked(service: string, versions: readonly string[]): void {
    const checked = this.#checked.get(service) ?? new Set();
    for (const version of versions) checked.add(version);
    for (const version of checked) {
      if (checked.size <= maxCheckedVersions) break;
      checked.delete(version);
    }
    this.#checked.set(service, checked);
  }

  /** Lists the versions that were checked, by service. */
  listChecked(): readonly (readonly [string, readonly string[]])[] {
    return [...this.#checked].map(([service, versions]) => [
      service,
      [...versions],
    ]);
  }

  /** Whether a holder has looked for an order for the version. */
  isChecked(service: string, version: string): boolean {
    if (this.#checked.get(service)?.has(version)) return true;
    const record = this.find(service);
    return record !== undefined &&
      (record.order.to === version || record.from.includes(version));
  }

  /** Records versions of a service's usable replicas. */
  recordSeen(service: string, versions: readonly string[], now: number): void {
    const seen = this.#seen.get(service) ?? new Map<string, SeenTimes>();
    this.#seen.set(service, seen);
    for (const version of versions) {
      const times = seen.get(version);
      if (times === undefined) seen.set(version, { first: now, last: now });
      else times.last = now;
    }
  }

  /** Forgets versions that have not been seen for a time. */
  forgetUnseen(now: number): void {
    for (const [service, seen] of this.#seen) {
      for (const [version, { last }] of seen) {
        if (now - last > forgetSeenMs) seen.delete(version);
      }
      if (seen.size === 0) this.#seen.delete(service);
    }
  }

  /** Counts the versions whose times are kept. */
  countSeen(): number {
    return [...this.#seen.values()].reduce((sum, { size }) => sum + size, 0);
  }

  /**
   * Reads which of the versions of a service's usable replicas may get a request.
   *
   * @param versions Versions, that of the replica that started first in front.
   */
  readRule(
    service: string,
    versions: readonly string[],
    now: number,
  ): VersionRule {
    const record = this.find(service);
    const unchecked = this.#listHeld(service, versions, now);
    if (record === undefined) {
      return excludeVersions(unchecked);
    }
    const { order, from, barred, state } = record;
    const held = [...barred, ...unchecked];
    switch (state) {
      case "completed": {
        const hasStopped = now - (record.endedAt ?? now) < stoppedReplicasMs;
        return excludeVersions(hasStopped ? [...from, ...held] : held);
      }
      case "reverted":
        return excludeVersions([order.to, ...held]);
      case "in_progress": {
        const share = readShare(record, now);
        if (share === 0 && !record.step.isFinishing) {
          return excludeVersions([order.to, ...held]);
        }
        const mayFallBack = record.step.isFinishing &&
          record.stopReason === undefined;
        const excluded = held.filter((version) => version !== order.to);
        return { kind: "share", to: order.to, share, excluded, mayFallBack };
      }
    }
  }

  /** Lists versions that wait until a holder has looked for an order for them. */
  #listHeld(
    service: string,
    versions: readonly string[],
    now: number,
  ): readonly string[] {
    if (versions.length < 2) return [];
    const seen = this.#seen.get(service);
    const isKnown = (version: string): boolean =>
      this.isChecked(service, version) ||
      now - (seen?.get(version)?.first ?? now) > uncheckedMs;
    // If none was checked, the one that started first served before.
    const [first] = versions;
    const hasChecked = versions.some(isKnown);
    return versions.filter((version) =>
      !isKnown(version) && (hasChecked || version !== first)
    );
  }
}

/** Reads the share of the new version at `now`. */
export function readShare(
  { state, step, stopReason }: RolloutRecord,
  now: number,
): number {
  const isInForce = state === "in_progress" && stopReason === undefined &&
    now - step.issuedAt <= stepTtlMs;
  return isInForce ? step.share : 0;
}

function excludeVersions(versions: readonly string[]): VersionRule {
  return versions.length === 0 ? { kind: "any" } : { kind: "not", versions };
}

/** Merges two records of a service; returns `known` itself if it stays. */
function mergeRecords(
  known: RolloutRecord,
  told: RolloutRecord,
): RolloutRecord {
  if (told.order.id !== known.order.id) {
    return told.order.id > known.order.id ? told : known;
  }
  const state = hasEnded(known) ? known.state : told.state;
  const isNewer = told.step.number > known.step.number;
  const step = isNewer ? told.step : known.step;
  const stopReason = known.stopReason ?? told.stopReason;
  // Two holders may have known different earlier orders.
  const barred = [...new Set([...known.barred, ...told.barred])]
    .slice(0, maxBarredVersions);
  const isSame = state === known.state && step === known.step &&
    stopReason === known.stopReason && barred.length === known.barred.length;
  if (isSame) return known;
  const startedAt = Math.min(known.startedAt, told.startedAt);
  return { ...known, barred, state, step, stopReason, startedAt };
}
