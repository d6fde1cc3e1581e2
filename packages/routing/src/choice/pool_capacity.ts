/**
 * Capacity of a service's endpoints as their load reports show it.
 *
 * An endpoint that reports slots has that many. One that does not is taken to
 * run at most as many calls as it ran when others queued behind them.
 */

import type { EndpointLoad } from "@almondcrank/membership/membership.ts";

/** Capacity of a pool of endpoints. */
export interface PoolCapacity {
  /** Requests that run at once. */
  readonly slots: number;
  /** Requests that wait at the endpoints. */
  readonly queued: number;
}

/** What is remembered of endpoints that report no slots. */
export class PoolCapacityMeter {
  readonly #observed = new Map<string, number>();

  static create(): PoolCapacityMeter {
    return new PoolCapacityMeter();
  }

  /**
   * Computes the capacity of the reachable endpoints; undefined while that of
   * any of them is not known, which is when it has never been full.
   */
  compute(loads: readonly EndpointLoad[]): PoolCapacity | undefined {
    const reachable = loads.filter((load) => load.reachable);
    let slots = 0;
    let queued = 0;
    let known = reachable.length > 0;
    for (const load of reachable) {
      const own = load.slots > 0 ? load.slots : this.#recordFull(load);
      if (own === undefined) known = false;
      slots += own ?? 0;
      queued += load.queued;
    }
    this.#removeOthers(loads);
    return known ? { slots, queued } : undefined;
  }

  #recordFull({ endpoint, running, queued }: EndpointLoad): number | undefined {
    if (queued > 0 && running > 0) this.#observed.set(endpoint, running);
    return this.#observed.get(endpoint);
  }

  #removeOthers(loads: readonly EndpointLoad[]): void {
    const names = new Set(loads.map(({ endpoint }) => endpoint));
    for (const name of this.#observed.keys()) {
      if (!names.has(name)) this.#observed.delete(name);
    }
  }
}
