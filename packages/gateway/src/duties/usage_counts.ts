/**
 * Counts requests that began to run, by usage window and tenant, on all nodes.
 *
 * Each node counts its own requests and keeps the sums that its peers report, so
 * the counts of a node survive its failure. Windows follow the wall-clock time on
 * which the nodes agree.
 *
 * In a large system a node hears either from single nodes and zones or from a relay
 * that sums all others, and may change between the two. Both tell of the same
 * requests, so the higher of the two sums counts.
 */

import type { RunCounter } from "../relay/relay_services.ts";

/** Number of past windows that are retained and reported to peers. */
const retainedWindows = 4;
/**
 * Name under which each node counts itself once a window, in place of a tenant: its
 * sum tells how many nodes the other sums include.
 */
const nodesKey = "";

/** Requests of one node in one window, by tenant. */
export interface WindowCounts {
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}

/** Whose requests a peer's counts tell of. */
export type UsageSource =
  | {
    readonly kind: "node";
    readonly node: string;
    readonly incarnation: string;
  }
  /** All nodes of another zone. */
  | { readonly kind: "zone"; readonly zone: string }
  /** All other nodes of the system. */
  | { readonly kind: "system" };

type Counts = Readonly<Record<string, number>>;

/** Options of usage counts. */
export interface UsageCountsOptions {
  readonly windowMs: number;
  /** Reads the wall-clock time on which the nodes agree, in milliseconds. */
  readonly readWallTime: () => number;
}

/** Usage counts of this node and its peers. */
export class UsageCounts implements RunCounter {
  readonly #options: UsageCountsOptions;
  readonly #own = new Map<number, Map<string, number>>();
  /** Window, then source, then tenant. */
  readonly #peers = new Map<number, Map<string, Counts>>();

  private constructor(options: UsageCountsOptions) {
    this.#options = options;
  }

  static create(options: UsageCountsOptions): UsageCounts {
    return new UsageCounts(options);
  }

  /** Computes the number of the present window. */
  readWindow(): number {
    const { windowMs, readWallTime } = this.#options;
    return Math.floor(readWallTime() / windowMs);
  }

  recordRun(tenant: string | undefined): void {
    if (tenant === undefined) return;
    const counts = this.#findOwn(this.readWindow());
    counts.set(tenant, (counts.get(tenant) ?? 0) + 1);
  }

  #findOwn(window: number): Map<string, number> {
    let counts = this.#own.get(window);
    if (counts === undefined) {
      counts = new Map([[nodesKey, 1]]);
      this.#own.set(window, counts);
      this.#forgetBefore(window - retainedWindows);
    }
    return counts;
  }

  /** Applies the counts of a peer; the counts of a source never decrease. */
  applyPeerCounts(source: UsageSource, { window, counts }: WindowCounts): void {
    let peers = this.#peers.get(window);
    if (peers === undefined) {
      if (window < this.readWindow() - retainedWindows) return;
      peers = new Map();
      this.#peers.set(window, peers);
      this.#forgetBefore(this.readWindow() - retainedWindows);
    }
    const key = formatSource(source);
    peers.set(key, chooseHigher(peers.get(key) ?? {}, counts));
  }

  /** Forgets a node's counts, which the sums of its zone include. */
  forgetNode(node: string): void {
    for (const peers of this.#peers.values()) {
      for (const key of peers.keys()) {
        if (key.startsWith(`${nodePrefix}${node}/`)) peers.delete(key);
      }
    }
  }

  /** Lists the counts of one node, as its peers know them. */
  listNodeCounts(node: string, incarnation: string): [number, Counts][] {
    const key = formatSource({ kind: "node", node, incarnation });
    return [...this.#peers].flatMap(([window, peers]) => {
      const counts = peers.get(key);
      return counts === undefined ? [] : [[window, counts]];
    });
  }

  /** Lists the sums of this node and those that report to it directly. */
  listZoneSums(): [number, Record<string, number>][] {
    return this.#listWindows().map((window) => [
      window,
      this.#sum(window, (key) => key.startsWith(nodePrefix)),
    ]);
  }

  /** Lists the sums of all nodes. */
  listSystemSums(): [number, Record<string, number>][] {
    return this.#listWindows()
      .map((window) => [window, { ...this.#computeSums(window) }]);
  }

  /** Lists this node's sums of the retained windows, for reports to the peers. */
  listRecent(): [number, Record<string, number>][] {
    this.#findOwn(this.readWindow());
    return [...this.#own].map(([window, counts]) => [
      window,
      Object.fromEntries(counts),
    ]);
  }

  /** Computes the sums of all nodes for one window, by tenant. */
  computeTotals(window: number): Readonly<Record<string, number>> {
    const { [nodesKey]: _, ...totals } = this.#computeSums(window);
    return totals;
  }

  /** Computes how many nodes the totals of a window include. */
  computeNodes(window: number): number {
    return this.#computeSums(window)[nodesKey] ?? 0;
  }

  /** The sums of all nodes, with the number of nodes under `nodesKey`. */
  #computeSums(window: number): Readonly<Record<string, number>> {
    return chooseHigher(
      this.#sum(window, (key) => key !== systemKey),
      this.#sum(window, (key) => key === systemKey),
    );
  }

  /** Sums this node's counts and those of some sources. */
  #sum(
    window: number,
    isIncluded: (key: string) => boolean,
  ): Record<string, number> {
    const sums: Record<string, number> = {};
    const add = (tenant: string, count: number): void => {
      sums[tenant] = (sums[tenant] ?? 0) + count;
    };
    for (const [tenant, count] of this.#own.get(window) ?? []) {
      add(tenant, count);
    }
    for (const [key, counts] of this.#peers.get(window) ?? []) {
      if (!isIncluded(key)) continue;
      for (const [tenant, count] of Object.entries(counts)) add(tenant, count);
    }
    return sums;
  }

  #listWindows(): readonly number[] {
    return [...new Set([...this.#own.keys(), ...this.#peers.keys()])];
  }

  #forgetBefore(oldest: number): void {
    for (const window of this.#own.keys()) {
      if (window < oldest) this.#own.delete(window);
    }
    for (const window of this.#peers.keys()) {
      if (window < oldest) this.#peers.delete(window);
    }
  }
}

const nodePrefix = "node ";
const systemKey = "system";

function formatSource(source: UsageSource): string {
  switch (source.kind) {
    case "node":
      return `${nodePrefix}${source.node}/${source.incarnation}`;
    case "zone":
      return `zone ${source.zone}`;
    case "system":
      return systemKey;
  }
}

/** Chooses the higher count of each tenant. */
function chooseHigher(a: Counts, b: Counts): Counts {
  const higher: Record<string, number> = { ...a };
  for (const [tenant, count] of Object.entries(b)) {
    higher[tenant] = Math.max(higher[tenant] ?? 0, count);
  }
  return higher;
}
