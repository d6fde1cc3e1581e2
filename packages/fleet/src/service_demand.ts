/**
 * Demand of model services as their engines report it.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Configuration } from "@almondcrank/common/configuration.ts";
import type { EndpointLoad } from "@almondcrank/membership/membership.ts";

/** Demand of one service, in requests at once. */
export interface ServiceDemand {
  readonly service: string;
  readonly demand: number;
  /** Highest demand within the time that is kept. */
  readonly peakDemand: number;
  /** Requests at once that one engine carries. */
  readonly slotsPerEngine: number;
}

const bucketMs = 60_000;
const keptBuckets = 15;

/** Follows the demand of services over the last minutes. */
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
   * Takes in the loads of all endpoints and computes demand by service.
   *
   * A service whose engines all stay silent is left out: nothing is known of
   * its demand, so nothing should change.
   */
  recordLoads(
    configuration: Configuration,
    loads: ReadonlyMap<string, EndpointLoad>,
  ): ServiceDemand[] {
    return configuration.services.flatMap((service) => {
      if (service.kind === "plain") return [];
      const endpoints = configuration.endpoints
        .filter((endpoint) => endpoint.service === service.name);
      if (endpoints.length === 0) return [createFirstDemand(service.name)];
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
      if (bucket <= now - keptBuckets) buckets.delete(bucket);
    }
    return Math.max(...buckets.values());
  }
}

/** Asks for one engine, so that a service without any gets its first. */
function createFirstDemand(service: string): ServiceDemand {
  return { service, demand: 1, peakDemand: 1, slotsPerEngine: 1 };
}

function computeTotal<T>(
  items: readonly T[],
  read: (item: T) => number,
): number {
  return items.reduce((sum, item) => sum + read(item), 0);
}
