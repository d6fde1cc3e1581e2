/**
 * Rents and gives back hosts by the capacity plan, under one lease.
 *
 * Each round compares the cloud API's list of instances with the plan, so a new
 * holder needs nothing of its predecessor: hosts requested by a process that died
 * show up in the list and count. A request whose answer was lost is repeated with
 * its token, which answers the first request's host. A host that goes back first
 * leaves the configuration, and is returned once its work has drained.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type {
  Configuration,
  ConfigurationSource,
} from "@almondcrank/common/configuration.ts";
import {
  createDisposable,
  type Disposable,
} from "@almondcrank/common/disposables.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { Random } from "@almondcrank/common/random.ts";
import type {
  CloudApi,
  Instance,
  InstanceOutcome,
  InstanceRequest,
  Price,
} from "@almondcrank/infrastructure/cloud_api.ts";
import type { ObjectStore } from "@almondcrank/infrastructure/object_store.ts";
import { computeCapacityPlan, type PlannedHost } from "./capacity_plan.ts";
import type { Lease } from "./lease.ts";
import { formatOffer, type Offer, OfferBackoff } from "./offers.ts";
import { defaultOrderTimeoutMs } from "./order_sender.ts";
import { rentedNamePrefix } from "./release_note_schema.ts";
import {
  createRentedEndpoint,
  RentedEndpointWriter,
} from "./rented_endpoint_writer.ts";
import type { ServiceDemand } from "./service_demand.ts";

/** Counter of steps, labelled `step` and `outcome`. */
export const replacementsCounter = "almondcrank_replacements_total";
/** Gauge of capacity that no offer covers, labelled `service`. */
export const uncoveredGauge = "almondcrank_uncovered_capacity";

const roundMs = 5_000;
const priceRounds = 12;
const maxRentsPerRound = 16;
const defaultDrainMs = 60_000;
const tokenPrefix = "almondcrank-";

/** How capacity is sized. */
export interface CapacityPolicy {
  readonly targetUtilization: number;
  readonly protectedShare: number;
  /** Utilisation allowed while a lost data centre is replaced. */
  readonly survivalUtilization: number;
  /** Capacity of machine classes relative to one engine; others are not rented. */
  readonly classCapacity: ReadonlyMap<string, number>;
}

/** What a replacer needs. */
export interface AutoscalerOptions {
  readonly cloud: CloudApi;
  readonly store: ObjectStore;
  readonly lease: Lease;
  readonly configuration: ConfigurationSource;
  readonly policy: CapacityPolicy;
  /** Demand of model services; those left out are not changed. */
  readonly listDemand: () => readonly ServiceDemand[];
  readonly isLeaving: (host: { readonly host: string }) => boolean;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly log: Log;
  /** Time between leaving the configuration and going back, in milliseconds. */
  readonly drainMs?: number;
}

/** Task that follows the capacity plan. */
export class Autoscaler implements Disposable {
  readonly #options: AutoscalerOptions;
  readonly #log: Log;
  readonly #blocks: OfferBackoff;
  readonly #rented: RentedEndpointWriter;
  readonly #stopped = new AbortController();
  readonly #lifetime = createDisposable(() => this.#stopped.abort());
  /** Monotonic time at which each host that goes back is returned. */
  readonly #returnAt = new Map<string, number>();
  /** Requests whose outcome is unknown. */
  readonly #unsettled = new Map<string, InstanceRequest>();
  /** Hosts granted since the list was last read. */
  readonly #granted = new Map<string, Instance>();
  readonly #zones = new Set<string>();
  #prices: readonly Price[] = [];
  #round = 0;
  #fencing = 0;

  private constructor(options: AutoscalerOptions) {
    this.#options = options;
    this.#log = options.log.createChild("fleet");
    this.#blocks = OfferBackoff.create(options.clock, options.random);
    this.#rented = RentedEndpointWriter.create(options.store, options.lease);
  }

  /** Starts the task; it works only while the lease is held. */
  static create(options: AutoscalerOptions): Autoscaler {
    const replacer = new Autoscaler(options);
    void replacer.#run();
    return replacer;
  }

  dispose(): void {
    this.#lifetime.dispose();
  }

  async #run(): Promise<void> {
    const { clock, lease } = this.#options;
    while (!this.#stopped.signal.aborted) {
      const fencing = lease.checkValid().orDefault(0);
      if (fencing !== this.#fencing) this.#clear();
      this.#fencing = fencing;
      if (fencing > 0 && !this.#isWaitingOut()) await this.#runRound();
      await clock.sleep(roundMs, this.#stopped.signal);
    }
  }

  /** Calls that an earlier holder sent last may still take effect. */
  #isWaitingOut(): boolean {
    const { lease, clock } = this.#options;
    const since = lease.acquiredAt ?? clock.now();
    return clock.now() < since + defaultOrderTimeoutMs;
  }

  #clear(): void {
    this.#rented.forget();
    this.#returnAt.clear();
    this.#unsettled.clear();
    this.#granted.clear();
    this.#round = 0;
  }

  async #runRound(): Promise<void> {
    const { cloud } = this.#options;
    if (this.#round % priceRounds === 0 || this.#prices.length === 0) {
      (await cloud.listPrices()).ifRight((prices) => this.#prices = prices);
    }
    this.#round += 1;
    const listed = await cloud.listInstances();
    const instances = listed.map((listed) => this.#takeList(listed))
      .orDefault([]);
    // Without the list nothing is known of the hosts, so nothing is changed.
    if (listed.isLeft()) return;
    await this.#writeRented(instances);
    for (const request of [...this.#unsettled.values()]) {
      await this.#request(request);
    }
    for (const demand of this.#options.listDemand()) {
      await this.#follow(demand, instances);
    }
    this.#giveBackWithdrawn(instances);
    await this.#returnDrained();
  }

  /** Hosts of services that were withdrawn go back. */
  #giveBackWithdrawn(instances: readonly Instance[]): void {
    const { revision, services } = this.#options.configuration.current();
    if (revision === 0) return;
    const names = new Set(services.map(({ name }) => name));
    for (const { host, service } of instances) {
      if (!names.has(service)) this.#giveBack(host);
    }
  }

  #takeList(listed: readonly Instance[]): readonly Instance[] {
    const own = listed.filter(({ token }) => token.startsWith(tokenPrefix));
    const hosts = new Set(own.map(({ host }) => host));
    const fresh = [...this.#granted.values()]
      .filter(({ host }) => !hosts.has(host));
    this.#granted.clear();
    for (const { token } of own) this.#unsettled.delete(token);
    for (const host of this.#returnAt.keys()) {
      if (!hosts.has(host)) this.#returnAt.delete(host);
    }
    return [...own, ...fresh];
  }

  async #writeRented(instances: readonly Instance[]): Promise<void> {
    for (const { zone } of instances) this.#zones.add(zone);
    for (const { zone } of this.#prices) this.#zones.add(zone);
    for (const zone of [...this.#zones].sort()) {
      const endpoints = instances
        .filter((instance) =>
          instance.zone === zone && !this.#returnAt.has(instance.host)
        )
        .flatMap((instance) => createRentedEndpoint(instance) ?? [])
        .sort((a, b) => (a.name < b.name ? -1 : 1));
      const written = await this.#rented.write(zone, endpoints);
      if (written.isLeft()) this.#count("record", "failed");
    }
  }

  async #follow(
    demand: ServiceDemand,
    instances: readonly Instance[],
  ): Promise<void> {
    const { policy, configuration, metrics, random } = this.#options;
    const { service, slotsPerEngine } = demand;
    const plan = computeCapacityPlan({
      ...policy,
      demand: demand.demand / slotsPerEngine,
      peakDemand: demand.peakDemand / slotsPerEngine,
      hosts: [
        ...this.#listReleased(configuration.current(), service),
        ...this.#listRented(instances, service),
      ],
      offers: this.#prices,
      blocked: new Set(
        this.#prices.filter((offer) => this.#blocks.isBlocked(offer))
          .map(formatOffer),
      ),
      maxRentals: maxRentsPerRound,
    });
    metrics.setGauge(uncoveredGauge, plan.uncovered, { service });
    for (const host of plan.returns) this.#giveBack(host);
    for (const offer of plan.rentals) {
      const { zone, machineClass, market } = offer;
      const token = tokenPrefix + random.nextInt(2 ** 31).toString(36) +
        random.nextInt(2 ** 31).toString(36);
      if (this.#blocks.isBlocked(offer)) continue;
      await this.#request({ token, service, zone, machineClass, market });
    }
  }

  /** Hosts of the release note count, and are never given back. */
  #listReleased(
    configuration: Configuration,
    service: string,
  ): PlannedHost[] {
    return configuration.endpoints
      .filter((endpoint) =>
        endpoint.service === service &&
        !endpoint.name.startsWith(rentedNamePrefix)
      )
      .map(({ host, zone, machineClass, market }) => ({
        host,
        zone,
        machineClass,
        market,
        state: this.#options.isLeaving({ host }) ? "leaving" : "running",
        isRented: false,
      }));
  }

  #listRented(
    instances: readonly Instance[],
    service: string,
  ): PlannedHost[] {
    return instances
      .filter((instance) => instance.service === service)
      .map(({ host, zone, machineClass, market, state }) => {
        const isGoing = this.#returnAt.has(host) ||
          this.#options.isLeaving({ host });
        return {
          host,
          zone,
          machineClass,
          market,
          state: isGoing ? "leaving" : state,
          isRented: true,
        };
      });
  }

  async #request(request: InstanceRequest): Promise<void> {
    if (this.#options.lease.checkValid().isLeft()) return;
    const outcome = await this.#options.cloud.requestInstance(request);
    outcome.caseOf({
      Left: (error) => {
        this.#count("rent", error.kind);
        if (error.kind === "outcome_unknown") {
          this.#unsettled.set(request.token, request);
        }
      },
      Right: (outcome) => this.#handleAnswer(request, outcome),
    });
  }

  #handleAnswer(request: InstanceRequest, outcome: InstanceOutcome): void {
    const offer: Offer = request;
    this.#unsettled.delete(request.token);
    this.#count("rent", `${request.market}_${outcome.kind}`);
    switch (outcome.kind) {
      case "granted":
        this.#granted.set(outcome.instance.host, outcome.instance);
        this.#blocks.recordGrant(offer);
        return;
      case "refused":
        this.#blocks.recordRefusal(offer);
        this.#log.info("host refused.", {
          zone: offer.zone,
          market: offer.market,
          reason: outcome.reason,
        });
    }
  }

  #giveBack(host: string): void {
    if (this.#returnAt.has(host)) return;
    const { clock, drainMs = defaultDrainMs } = this.#options;
    this.#returnAt.set(host, clock.now() + drainMs);
    this.#count("drain", "started");
  }

  async #returnDrained(): Promise<void> {
    const { cloud, clock, lease } = this.#options;
    for (const [host, returnAt] of [...this.#returnAt]) {
      if (returnAt > clock.now() || lease.checkValid().isLeft()) continue;
      const outcome = await cloud.returnInstance(host);
      this.#count("return", outcome.isRight() ? "done" : "failed");
    }
  }

  #count(step: string, outcome: string): void {
    this.#options.metrics.count(replacementsCounter, { step, outcome });
  }
}
