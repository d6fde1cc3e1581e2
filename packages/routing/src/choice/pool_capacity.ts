/**
 * Capacity of a service's endpoints, derived from their load reports.
 *
 * An endpoint that reports slots has that many. The capacity of one that reports
 * none is the number of calls it ran when it last had a queue.
 */

import type { EndpointLoad } from "@almondcrank/membership/membership.ts";

/** Capacity and queue of a pool of endpoints. */
export interface PoolCapacity {
  /** Requests that run at once. */
  readonly slots: number;
  /** Requests that wait at the endpoints. */
  readonly queued: number;
}

/** Computes pool capacity; keeps what endpoints without slots were seen to run. */
export class PoolCapacityMeter {
  /** Calls that ran while others were queued, by endpoint. */
  readonly #observed = new Map<string, number>();

  static create(): PoolCapacityMeter {
    return new PoolCapacityMeter();
  }

  /**
   * Computes the capacity of the reachable endpoints; undefined when there is
   * none, or while one of them reports no slots and has not had a queue yet.
   */
  compute(loads: readonly EndpointLoad[]): PoolCapacity | undefined {
    const reachable = loads.filter((load) => load.reachable);
    let slots = 0;
    let queued = 0;
    let known = reachable.length > 0;
    for (const load of reachable) {
      const endpointSlots = load.slots > 0
        ? load.slots
        : this.#recordObserved(load);
      if (endpointSlots === undefined) known = false;
      slots += endpointSlots ?? 0;
      queued += load.queued;
    }
    this.#removeOthers(loads);
    return known ? { slots, queued } : undefined;
  }

  #recordObserved(
    { endpoint, running, queued }: EndpointLoad,
  ): number | undefined {
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
