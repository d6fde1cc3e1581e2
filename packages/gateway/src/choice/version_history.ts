/**
 * Remembers which software versions served each service lately, so that a node
 * knows when the one version that it sees may not have begun a stream.
 *
 * A node that has just started sees only the replicas that are listed now. The
 * versions before come from a stored history. A version without an end there may
 * have served until the node's start, whoever was to record its end.
 */

import type { ReplicaTable } from "./replica_table.ts";

/** A version as the stored history has it. */
export interface StoredVersion {
  readonly service: string;
  readonly version: string;
  /** Time of day since which it no longer serves; null if it may still serve. */
  readonly endedAt: number | null;
}

/** Times of one moment. */
export interface HistoryTimes {
  /** Monotonic time in milliseconds. */
  readonly now: number;
  /** Time of day in milliseconds. */
  readonly wallTime: number;
  /** Time for which streams of a version that has left may be taken up again. */
  readonly horizonMs: number;
}

type ListedVersions = Pick<ReplicaTable, "listServices" | "listVersions">;

/** What one node knows of the versions that serve and served. */
export class VersionHistory {
  /** Monotonic time at which each version may last have served, by service. */
  readonly #lastServed = new Map<string, Map<string, number>>();

  static create(): VersionHistory {
    return new VersionHistory();
  }

  /** Records the versions that are listed now. */
  recordListed(table: ListedVersions, now: number): void {
    for (const service of table.listServices()) {
      for (const version of table.listVersions(service)) {
        this.#record(service, version, now);
      }
    }
  }

  /**
   * Records the versions of a stored history.
   *
   * @param openUntil Monotonic time until which versions without an end may have
   * served; now, unless this node has seen the listed ones itself since.
   */
  learn(
    stored: readonly StoredVersion[],
    { now, wallTime }: Pick<HistoryTimes, "now" | "wallTime">,
    openUntil = now,
  ): void {
    for (const { service, version, endedAt } of stored) {
      const lastServed = endedAt === null
        ? openUntil
        : now - Math.max(0, wallTime - endedAt);
      this.#record(service, version, lastServed);
    }
  }

  /** Lists the versions of a service that served within the horizon. */
  listVersions(
    service: string,
    { now, horizonMs }: Pick<HistoryTimes, "now" | "horizonMs">,
  ): readonly string[] {
    return [...this.#lastServed.get(service) ?? []]
      .filter(([, lastServed]) => now - lastServed <= horizonMs)
      .map(([version]) => version);
  }

  /** Lists the services with a version that served within the horizon. */
  listServices(): Iterable<string> {
    return this.#lastServed.keys();
  }

  /** Composes the history to store, and forgets what is beyond the horizon. */
  compose(
    table: ListedVersions,
    { now, wallTime, horizonMs }: HistoryTimes,
  ): readonly StoredVersion[] {
    const composed: StoredVersion[] = [];
    for (const [service, versions] of this.#lastServed) {
      const listed = table.listVersions(service);
      for (const [version, lastServed] of versions) {
        if (now - lastServed > horizonMs) versions.delete(version);
        else {
          const endedAt = listed.includes(version)
            ? null
            : Math.round(wallTime - (now - lastServed));
          composed.push({ service, version, endedAt });
        }
      }
    }
    return composed;
  }

  #record(service: string, version: string, at: number): void {
    let versions = this.#lastServed.get(service);
    if (versions === undefined) {
      versions = new Map();
      this.#lastServed.set(service, versions);
    }
    versions.set(version, Math.max(at, versions.get(version) ?? -Infinity));
  }
}

/**
 * Whether the stored history has to be written: a version began or ended. One
 * that is beyond the horizon stays until then, which does no harm.
 */
export function isHistoryDue(
  stored: readonly StoredVersion[],
  composed: readonly StoredVersion[],
): boolean {
  const states = new Map(
    stored.map(({ service, version, endedAt }) => [
      JSON.stringify([service, version]),
      endedAt === null,
    ]),
  );
  return composed.some(({ service, version, endedAt }) =>
    states.get(JSON.stringify([service, version])) !== (endedAt === null)
  );
}
