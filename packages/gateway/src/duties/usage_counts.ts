/**
 * Requests that began to run, by usage window and tenant, on all nodes.
 *
 * Each node counts its own and hears the others' sums, so what a node counted
 * survives it. Windows are those of the time of day on which the nodes agree.
 */

import type { RunCounter } from "../relay/relay_services.ts";

/** Windows that are kept and told to peers. */
const keptWindows = 4;

/** Sums of one window. */
export interface WindowCounts {
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}

/** What counting needs. */
export interface UsageCountsOptions {
  readonly windowMs: number;
  /** Time of day on which the nodes agree. */
  readonly readWallTime: () => number;
}

/** Counts as this node knows them. */
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

  /** Number of the present window. */
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
      this.#forgetBefore(window - keptWindows);
    }
    counts.set(tenant, (counts.get(tenant) ?? 0) + 1);
  }

  /** Takes in a peer's sums; they never fall within one incarnation. */
  applyPeerCounts(
    node: string,
    incarnation: string,
    { window, counts }: WindowCounts,
  ): void {
    let peers = this.#peers.get(window);
    if (peers === undefined) {
      if (window < this.readWindow() - keptWindows) return;
      peers = new Map();
      this.#peers.set(window, peers);
      this.#forgetBefore(this.readWindow() - keptWindows);
    }
    peers.set(`${node}/${incarnation}`, counts);
  }

  /** Own sums of the last windows, for the peers. */
  listRecent(): [number, Record<string, number>][] {
    return [...this.#own].map(([window, counts]) => [
      window,
      Object.fromEntries(counts),
    ]);
  }

  /** Sums of all nodes for one window. */
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
