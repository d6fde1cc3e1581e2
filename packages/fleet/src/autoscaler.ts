/**
 * Rents and returns hosts by the capacity plan, under one lease.
 *
 * Each round compares the cloud API's list of instances with the plan, so a new
 * lease holder needs no state of the previous one: hosts requested by a process
 * that died are in the list and count. A request whose answer was lost is
 * repeated with its idempotency token, which gives the host of the first
 * request. A host to return is first removed from the configuration, and is
 * returned after the time in which its requests drain.
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

/**
 * Counter of steps, labelled `step` (rent, drain, return, or record for the
 * stored endpoints) and `outcome`.
 */
export const replacementsCounter = "almondcrank_replacements_total";
/** Gauge of missing capacity that no offer covers, labelled `service`. */
export const uncoveredGauge = "almondcrank_uncovered_capacity";

const roundIntervalMs = 5_000;
const roundsPerPriceRead = 12;
const maxRentalsPerRound = 16;
const defaultDrainMs = 60_000;
/** Prefix of request tokens; instances with other tokens are not managed. */
const tokenPrefix = "almondcrank-";

/** Settings by which the capacity is sized. */
export interface CapacityPolicy {
  /** Utilisation up to which the latency target holds, in (0, 1]. */
  readonly targetUtilization: number;
  /**
   * Share of the demand that must survive the loss of a data centre, in [0, 1].
   */
  readonly protectedShare: number;
  /** Utilisation allowed while a lost data centre is replaced, in (0, 1]. */
  readonly survivalUtilization: number;
  /**
   * Capacity of machine classes relative to one engine; others are not rented.
   */
  readonly classCapacity: ReadonlyMap<string, number>;
}

/** Dependencies and settings of an autoscaler. */
export interface AutoscalerOptions {
  readonly cloud: CloudApi;
  readonly store: ObjectStore;
  readonly lease: Lease;
  readonly configuration: ConfigurationSource;
  readonly policy: CapacityPolicy;
  /**
   * Lists the demand of model services; the capacity of others is not changed.
   */
  readonly listDemand: () => readonly ServiceDemand[];
  readonly isLeaving: (host: { readonly host: string }) => boolean;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly log: Log;
  /**
   * Time between removal from the configuration and return, in milliseconds;
   * 60 s if left out.
   */
  readonly drainMs?: number;
}

/** Task that applies the capacity plan while the lease is held. */
export class Autoscaler implements Disposable {
  readonly #options: AutoscalerOptions;
  readonly #log: Log;
  readonly #backoff: OfferBackoff;
  readonly #rented: RentedEndpointWriter;
  readonly #stopped = new AbortController();
  readonly #lifetime = createDisposable(() => this.#stopped.abort());
  /** Monotonic time at which each draining host is returned. */
  readonly #returnAt = new Map<string, number>();
  /** Requests whose outcome is unknown, by token. */
  readonly #unresolved = new Map<string, InstanceRequest>();
  /** Hosts granted since the list was last read, by name. */
  readonly #granted = new Map<string, Instance>();
  /** Data centres whose lists of rented endpoints are written. */
  readonly #zones = new Set<string>();
  #prices: readonly Price[] = [];
  #round = 0;
  /** Fencing token of the last round, 0 while the lease is not held. */
  #fencing = 0;

  private constructor(options: AutoscalerOptions) {
    this.#options = options;
    this.#log = options.log.createChild("fleet");
    this.#backoff = OfferBackoff.create(options.clock, options.random);
    this.#rented = RentedEndpointWriter.create(options.store, options.lease);
  }

  /** Starts the task; it acts only while the lease is held. */
  static create(options: AutoscalerOptions): Autoscaler {
    const autoscaler = new Autoscaler(options);
    void autoscaler.#run();
    return autoscaler;
  }

  dispose(): void {
    this.#lifetime.dispose();
  }

  async #run(): Promise<void> {
    const { clock, lease } = this.#options;
    while (!this.#stopped.signal.aborted) {
      const fencing = lease.checkValid().orDefault(0);
      if (fencing !== this.#fencing) this.#forget();
      this.#fencing = fencing;
      if (fencing > 0 && !this.#isWaitingOut()) await this.#runRound();
      await clock.sleep(roundIntervalMs, this.#stopped.signal);
    }
  }

  /** Whether the last calls of an earlier holder may still take effect. */
  #isWaitingOut(): boolean {
    const { lease, clock } = this.#options;
    const since = lease.acquiredAt ?? clock.now();
    return clock.now() < since + defaultOrderTimeoutMs;
  }

  #forget(): void {
    this.#rented.forget();
    this.#returnAt.clear();
    this.#unresolved.clear();
    this.#granted.clear();
    this.#round = 0;
  }

  async #runRound(): Promise<void> {
    const { cloud } = this.#options;
    if (this.#round % roundsPerPriceRead === 0 || this.#prices.length === 0) {
      (await cloud.listPrices()).ifRight((prices) => this.#prices = prices);
    }
    this.#round += 1;
    const listed = await cloud.listInstances();
    const instances = listed.map((listed) => this.#recordListed(listed))
      .orDefault([]);
    // Without the list the present hosts are unknown, so nothing is changed.
    if (listed.isLeft()) return;
    await this.#writeRented(instances);
    for (const request of [...this.#unresolved.values()]) {
      await this.#request(request);
    }
    for (const demand of this.#options.listDemand()) {
      await this.#applyPlan(demand, instances);
    }
    this.#drainWithdrawn(instances);
    await this.#returnDrained();
  }

  /** Starts to drain the hosts of services that were withdrawn. */
  #drainWithdrawn(instances: readonly Instance[]): void {
    const { revision, services } = this.#options.configuration.current();
    if (revision === 0) return;
    const names = new Set(services.map(({ name }) => name));
    for (const { host, service } of instances) {
      if (!names.has(service)) this.#drain(host);
    }
  }

  #recordListed(listed: readonly Instance[]): readonly Instance[] {
    const own = listed.filter(({ token }) => token.startsWith(tokenPrefix));
    const hosts = new Set(own.map(({ host }) => host));
    const unlisted = [...this.#granted.values()]
      .filter(({ host }) => !hosts.has(host));
    this.#granted.clear();
    for (const { token } of own) this.#unresolved.delete(token);
    for (const host of this.#returnAt.keys()) {
      if (!hosts.has(host)) this.#returnAt.delete(host);
    }
    return [...own, ...unlisted];
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

  async #applyPlan(
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
        ...this.#listConfiguredHosts(configuration.current(), service),
        ...this.#listRentedHosts(instances, service),
      ],
      offers: this.#prices,
      blocked: new Set(
        this.#prices.filter((offer) => this.#backoff.isBlocked(offer))
          .map(formatOffer),
      ),
      maxRentals: maxRentalsPerRound,
    });
    metrics.setGauge(uncoveredGauge, plan.uncovered, { service });
    for (const host of plan.returns) this.#drain(host);
    for (const offer of plan.rentals) {
      const { zone, machineClass, market } = offer;
      const token = tokenPrefix + random.nextInt(2 ** 31).toString(36) +
        random.nextInt(2 ** 31).toString(36);
      if (this.#backoff.isBlocked(offer)) continue;
      await this.#request({ token, service, zone, machineClass, market });
    }
  }

  /** Lists a service's hosts of the release note, which are never returned. */
  #listConfiguredHosts(
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

  #listRentedHosts(
    instances: readonly Instance[],
    service: string,
  ): PlannedHost[] {
    return instances
      .filter((instance) => instance.service === service)
      .map(({ host, zone, machineClass, market, state }) => {
        const isLeaving = this.#returnAt.has(host) ||
          this.#options.isLeaving({ host });
        return {
          host,
          zone,
          machineClass,
          market,
          state: isLeaving ? "leaving" : state,
          isRented: true,
        };
      });
  }

  async #request(request: InstanceRequest): Promise<void> {
    const { cloud, lease } = this.#options;
    const isAllowed = (): boolean => lease.checkValid().isRight();
    if (!isAllowed()) return;
    const outcome = await cloud.requestInstance(request, isAllowed);
    outcome.caseOf({
      Left: (error) => {
        this.#count("rent", error.kind);
        if (error.kind === "outcome_unknown") {
          this.#unresolved.set(request.token, request);
        }
      },
      Right: (outcome) => this.#handleAnswer(request, outcome),
    });
  }

  #handleAnswer(request: InstanceRequest, outcome: InstanceOutcome): void {
    const offer: Offer = request;
    this.#unresolved.delete(request.token);
    this.#count("rent", `${request.market}_${outcome.kind}`);
    switch (outcome.kind) {
      case "granted":
        this.#granted.set(outcome.instance.host, outcome.instance);
        this.#backoff.recordGrant(offer);
        return;
      case "refused":
        this.#backoff.recordRefusal(offer);
        this.#log.info("host request refused.", {
          zone: offer.zone,
          market: offer.market,
          reason: outcome.reason,
        });
    }
  }

  #drain(host: string): void {
    if (this.#returnAt.has(host)) return;
    const { clock, drainMs = defaultDrainMs } = this.#options;
    this.#returnAt.set(host, clock.now() + drainMs);
    this.#count("drain", "started");
  }

  async #returnDrained(): Promise<void> {
    const { cloud, clock, lease } = this.#options;
    const isAllowed = (): boolean => lease.checkValid().isRight();
    for (const [host, returnAt] of [...this.#returnAt]) {
      if (returnAt > clock.now() || !isAllowed()) continue;
      const outcome = await cloud.returnInstance(host, isAllowed);
      this.#count("return", outcome.isRight() ? "done" : "failed");
    }
  }

  #count(step: string, outcome: string): void {
    this.#options.metrics.count(replacementsCounter, { step, outcome });
  }
}
