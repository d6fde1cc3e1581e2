/**
 * Runs the control plane's work on one node.
 *
 * Every node runs this. It watches notices if it is one of its data centre's
 * watchers, tries to acquire the leases for which it is a candidate, and does
 * the work of the shards whose lease it holds: one shard per data centre
 * reconciles its engines, and one shard for the whole fleet scales the
 * capacity.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type {
  ConfigurationSource,
  Endpoint,
} from "@almondcrank/common/configuration.ts";
import {
  createDisposable,
  type Disposable,
  DisposableStore,
} from "@almondcrank/common/disposables.ts";
import type { Hasher } from "@almondcrank/common/hashing.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { Random } from "@almondcrank/common/random.ts";
import type { Engine } from "@almondcrank/endpoint/engine.ts";
import type {
  EndpointLoad,
  Membership,
} from "@almondcrank/membership/membership.ts";
import type { CloudApi } from "@almondcrank/infrastructure/cloud_api.ts";
import type { ObjectStore } from "@almondcrank/infrastructure/object_store.ts";
import type { WeightStore } from "@almondcrank/infrastructure/weight_store.ts";
import { Lease } from "./lease.ts";
import { defaultLeaseMs, LeaseRenewer } from "./lease_renewer.ts";
import { NoticeWatch } from "./notice_watch.ts";
import { OrderSender } from "./order_sender.ts";
import { Reconciler } from "./reconciler.ts";
import { Autoscaler, type CapacityPolicy } from "./autoscaler.ts";
import { DemandHistory } from "./service_demand.ts";

const shardCheckIntervalMs = 3_000;
/** Shard of the autoscaler. */
const capacityShard = "capacity";
/** Prefix of the shards of data centres; the name of the zone follows. */
const zoneShardPrefix = "zone/";

/** Dependencies and settings of a node's control work. */
export interface FleetControlOptions {
  readonly store: ObjectStore;
  readonly cloud: CloudApi;
  readonly weightStore: WeightStore;
  readonly configuration: ConfigurationSource;
  readonly membership: Membership;
  /** Finds the client of an endpoint's engine. */
  readonly engines: (endpoint: Endpoint) => Engine;
  /** Lists the latest load of each endpoint, by its name. */
  readonly loads: () => ReadonlyMap<string, EndpointLoad>;
  /** Policy by which hosts are rented; undefined to rent none. */
  readonly capacity: CapacityPolicy | undefined;
  readonly clock: Clock;
  readonly random: Random;
  readonly hasher: Hasher;
  readonly metrics: Metrics;
  readonly log: Log;
  /**
   * Longest time from sending an order to its effect, in milliseconds;
   * `defaultOrderTimeoutMs` if left out.
   */
  readonly orderTimeoutMs?: number;
}

/** Shard that this node may hold; disposing it stops its work at once. */
interface Shard extends Disposable {
  readonly renewer: LeaseRenewer;
}

/** Runs the control work of one node. */
export class FleetControl implements Disposable {
  readonly #options: FleetControlOptions;
  readonly #lifetime = DisposableStore.create();
  readonly #stopped = new AbortController();
  readonly #shards = new Map<string, Shard>();
  readonly notices: NoticeWatch;

  private constructor(options: FleetControlOptions) {
    this.#options = options;
    const { self } = options.membership;
    this.#lifetime.register(createDisposable(() => this.#stopped.abort()));
    this.notices = this.#lifetime.register(NoticeWatch.create({
      ...options,
      node: self.node,
      zone: self.zone,
      listZoneNodes: () => this.#listNodes(self.zone),
    }));
  }

  /** Starts the control work. */
  static create(options: FleetControlOptions): FleetControl {
    const control = new FleetControl(options);
    void control.#run();
    return control;
  }

  /** Lists the shards whose lease this node holds. */
  listHeldShards(): string[] {
    return [...this.#shards]
      .filter(([, { renewer }]) => renewer.lease.checkValid().isRight())
      .map(([shard]) => shard);
  }

  /** Stops the control work and releases the leases that are held. */
  async stop(): Promise<void> {
    this.#stopped.abort();
    const shards = [...this.#shards.values()];
    // No order may be sent after the lease is released.
    for (const shard of shards) shard.dispose();
    await Promise.all(shards.map(({ renewer }) => renewer.stop()));
    this.dispose();
  }

  dispose(): void {
    this.#lifetime.dispose();
  }

  async #run(): Promise<void> {
    const { clock, configuration, capacity } = this.#options;
    if (capacity !== undefined) this.#startCapacity(capacity);
    while (!this.#stopped.signal.aborted) {
      const zones = new Set(
        configuration.current().endpoints.map(({ zone }) => zone),
      );
      for (const zone of zones) this.#startZone(zone);
      await clock.sleep(shardCheckIntervalMs, this.#stopped.signal);
    }
  }

  #startZone(zone: string): void {
    const shard = zoneShardPrefix + zone;
    if (this.#shards.has(shard)) return;
    const renewer = this.#createRenewer(shard, () => this.#listNodes(zone));
    const { lease } = renewer;
    const { orderTimeoutMs } = this.#options;
    const sender = OrderSender.create({
      ...this.#options,
      lease,
      holder: this.#holderId,
      ...(orderTimeoutMs === undefined ? {} : { orderTimeoutMs }),
    });
    const work = Reconciler.create({
      ...this.#options,
      zone,
      lease,
      sender,
      isLeaving: (endpoint) => this.notices.isLeaving(endpoint),
    });
    this.#addShard(shard, { renewer, work });
  }

  #startCapacity(policy: CapacityPolicy): void {
    const { clock, configuration, loads } = this.#options;
    const renewer = this.#createRenewer(
      capacityShard,
      () => this.#listNodes(undefined),
    );
    const history = DemandHistory.create(clock);
    const work = Autoscaler.create({
      ...this.#options,
      lease: renewer.lease,
      policy,
      listDemand: () => history.recordLoads(configuration.current(), loads()),
      isLeaving: (host) => this.notices.isLeaving(host),
    });
    this.#addShard(capacityShard, { renewer, work });
  }

  #addShard(
    shard: string,
    { renewer, work }: {
      readonly renewer: LeaseRenewer;
      readonly work: Disposable;
    },
  ): void {
    this.#shards.set(shard, { renewer, dispose: () => work.dispose() });
    this.#lifetime.register(renewer);
    this.#lifetime.register(work);
  }

  #createRenewer(
    shard: string,
    listNodes: () => readonly string[],
  ): LeaseRenewer {
    const { store, clock, membership } = this.#options;
    const lease = Lease.create({
      store,
      clock,
      shard,
      holder: this.#holderId,
      durationMs: defaultLeaseMs,
    });
    const { node } = membership.self;
    return LeaseRenewer.create({ ...this.#options, lease, node, listNodes });
  }

  /** Name of this process in leases and orders, unique to its incarnation. */
  get #holderId(): string {
    const { node, incarnation } = this.#options.membership.self;
    return `${node}/${incarnation}`;
  }

  /**
   * Lists the live nodes of a data centre, or all live nodes if it has none:
   * its engines may still run.
   */
  #listNodes(zone: string | undefined): readonly string[] {
    const { membership } = this.#options;
    const alive = [
      membership.self,
      ...membership.list().filter(({ state }) => state === "alive")
        .map(({ identity }) => identity),
    ];
    const near = alive.filter((identity) => identity.zone === zone);
    return (near.length > 0 ? near : alive).map(({ node }) => node);
  }
}
