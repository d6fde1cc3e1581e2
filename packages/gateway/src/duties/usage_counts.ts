/**
 * Counts requests that began to run, by usage window and tenant, on all nodes.
 *
 * Each node counts its own requests and keeps the sums that its peers report, so
 * the counts of a node survive its failure. Windows follow the wall-clock time on
 * which the nodes agree.
 */

import type { RunCounter } from "../relay/relay_services.ts";

/** Number of past windows that are retained and reported to peers. */
const retainedWindows = 4;

/** Requests of one node in one window, by tenant. */
export interface WindowCounts {
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}

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
  /** Window, then node and incarnation, then tenant. */
  readonly #peers = new Map<
    number,
    Map<string, Readonly<Record<string, number>>>
  >();

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
    const window = this.readWindow();
    let counts = this.#own.get(window);
    if (counts === undefined) {
      counts = new Map();
      this.#own.set(window, counts);
      this.#forgetBefore(window - retainedWindows);
    }
    counts.set(tenant, (counts.get(tenant) ?? 0) + 1);
  }

  /** Replaces the sums of a peer's incarnation; they never decrease. */
  applyPeerCounts(
    node: string,
    incarnation: string,
    { window, counts }: WindowCounts,
  ): void {
    let peers = this.#peers.get(window);
    if (peers === undefined) {
      if (window < this.readWindow() - retainedWindows) return;
      peers = new Map();
      this.#peers.set(window, peers);
      this.#forgetBefore(this.readWindow() - retainedWindows);
    }
    peers.set(`${node}/${incarnation}`, counts);
  }

  /** Lists this node's sums of the retained windows, for reports to the peers. */
  listRecent(): [number, Record<string, number>][] {
    return [...this.#own].map(([window, counts]) => [
      window,
      Object.fromEntries(counts),
    ]);
  }

  /** Computes the sums of all nodes for one window, by tenant. */
  computeTotals(window: number): Readonly<Record<string, number>> {
    const totals: Record<string, number> = {};
    const add = (tenant: string, count: number): void => {
      totals[tenant] = (totals[tenant] ?? 0) + count;
    };
    for (const [tenant, count] of this.#own.get(window) ?? []) {
      add(tenant, count);
    }
    for (const counts of this.#peers.get(window)?.values() ?? []) {
      for (const [tenant, count] of Object.entries(counts)) add(tenant, count);
    }
    return totals;
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
