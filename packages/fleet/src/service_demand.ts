/**
 * Demand of model services, computed from the loads of their engines.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Configuration } from "@almondcrank/common/configuration.ts";
import type { EndpointLoad } from "@almondcrank/membership/membership.ts";

/** Demand of one service, in concurrent requests. */
export interface ServiceDemand {
  readonly service: string;
  /** Running and queued requests. */
  readonly demand: number;
  /** Highest demand in the sliding window. */
  readonly peakDemand: number;
  /** Concurrent requests that one engine runs, on average. */
  readonly slotsPerEngine: number;
}

const bucketMs = 60_000;
const bucketCount = 15;

/** Peak demand of each service over a sliding window of the last 15 minutes. */
export class DemandHistory {
  readonly #clock: Clock;
  readonly #buckets = new Map<string, Map<number, number>>();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): DemandHistory {
    return new DemandHistory(clock);
  }

  /**
   * Records the loads of all endpoints and computes the demand of each service.
   *
   * A service none of whose engines has a load is left out: its demand is
   * unknown, so its capacity should not change. A service without endpoints
   * gets the demand of one engine.
   */
  recordLoads(
    configuration: Configuration,
    loads: ReadonlyMap<string, EndpointLoad>,
  ): ServiceDemand[] {
    return configuration.services.flatMap((service) => {
      if (service.kind === "plain") return [];
      const endpoints = configuration.endpoints
        .filter((endpoint) => endpoint.service === service.name);
      if (endpoints.length === 0) return [createInitialDemand(service.name)];
      const reports = endpoints.flatMap(({ name }) => loads.get(name) ?? []);
      if (reports.length === 0) return [];
      const demand = computeTotal(
        reports,
        (load) => load.running + load.queued,
      );
      const slots = computeTotal(reports, (load) => load.slots);
      return [{
        service: service.name,
        demand,
        peakDemand: this.#recordPeak(service.name, demand),
        slotsPerEngine: slots / reports.length,
      }];
    });
  }

  #recordPeak(service: string, demand: number): number {
    const now = Math.floor(this.#clock.now() / bucketMs);
    const buckets = this.#buckets.get(service) ?? new Map<number, number>();
    this.#buckets.set(service, buckets);
    buckets.set(now, Math.max(demand, buckets.get(now) ?? 0));
    for (const bucket of buckets.keys()) {
      if (bucket <= now - bucketCount) buckets.delete(bucket);
    }
    return Math.max(...buckets.values());
  }
}

/** Demand for one engine, so that a service without engines gets its first. */
function createInitialDemand(service: string): ServiceDemand {
  return { service, demand: 1, peakDemand: 1, slotsPerEngine: 1 };
}

function computeTotal<T>(
  items: readonly T[],
  read: (item: T) => number,
): number {
  return items.reduce((sum, item) => sum + read(item), 0);
}
