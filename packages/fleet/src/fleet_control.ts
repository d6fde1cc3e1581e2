/**
 * The control work of one node.
 *
 * Every node runs this. It watches notices if it is one of its data centre's
 * watchers, tries for the leases for which it is a candidate, and does the work
 * of those it holds: one shard a data centre, and one for capacity.
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

const shardCheckMs = 3_000;
/** Shard of the capacity plan; data centres' shards are named after them. */
const capacityShard = "capacity";
const zoneShardPrefix = "zone/";

/** What the control work needs. */
export interface FleetControlOptions {
  readonly store: ObjectStore;
  readonly cloud: CloudApi;
  readonly weightStore: WeightStore;
  readonly configuration: ConfigurationSource;
  readonly membership: Membership;
  readonly engines: (endpoint: Endpoint) => Engine;
  /** Latest load of each endpoint, by its name. */
  readonly loads: () => ReadonlyMap<string, EndpointLoad>;
  /** How hosts are rented; undefined for none. */
  readonly capacity: CapacityPolicy | undefined;
  readonly clock: Clock;
  readonly random: Random;
  readonly hasher: Hasher;
  readonly metrics: Metrics;
  readonly log: Log;
  /** Longest time from sending an order to its effect, in milliseconds. */
  readonly orderTimeoutMs?: number;
}

interface Shard extends Disposable {
  readonly holder: LeaseRenewer;
}

/** Control work of one node. */
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

  /** Shards whose lease this node holds. */
  listHeldShards(): string[] {
    return [...this.#shards]
      .filter(([, { holder }]) => holder.lease.checkValid().isRight())
      .map(([shard]) => shard);
  }

  /** Stops the control work and releases the leases that are held. */
  async stop(): Promise<void> {
    this.#stopped.abort();
    const shards = [...this.#shards.values()];
    // Orders end before the lease does.
    for (const shard of shards) shard.dispose();
    await Promise.all(shards.map(({ holder }) => holder.stop()));
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
      await clock.sleep(shardCheckMs, this.#stopped.signal);
    }
  }

  #startZone(zone: string): void {
    const shard = zoneShardPrefix + zone;
    if (this.#shards.has(shard)) return;
    const holder = this.#createHolder(shard, () => this.#listNodes(zone));
    const { lease } = holder;
    const { orderTimeoutMs } = this.#options;
    const sender = OrderSender.create({
      ...this.#options,
      lease,
      holder: this.#process,
      ...(orderTimeoutMs === undefined ? {} : { orderTimeoutMs }),
    });
    const work = Reconciler.create({
      ...this.#options,
      zone,
      lease,
      sender,
      isLeaving: (endpoint) => this.notices.isLeaving(endpoint),
    });
    this.#addShard(shard, { holder, work });
  }

  #startCapacity(policy: CapacityPolicy): void {
    const { clock, configuration, loads } = this.#options;
    const holder = this.#createHolder(
      capacityShard,
      () => this.#listNodes(undefined),
    );
    const history = DemandHistory.create(clock);
    const work = Autoscaler.create({
      ...this.#options,
      lease: holder.lease,
      policy,
      listDemand: () => history.recordLoads(configuration.current(), loads()),
      isLeaving: (host) => this.notices.isLeaving(host),
    });
    this.#addShard(capacityShard, { holder, work });
  }

  #addShard(
    shard: string,
    { holder, work }: {
      readonly holder: LeaseRenewer;
      readonly work: Disposable;
    },
  ): void {
    this.#shards.set(shard, { holder, dispose: () => work.dispose() });
    this.#lifetime.register(holder);
    this.#lifetime.register(work);
  }

  #createHolder(
    shard: string,
    listNodes: () => readonly string[],
  ): LeaseRenewer {
    const { store, clock, membership } = this.#options;
    const lease = Lease.create({
      store,
      clock,
      shard,
      holder: this.#process,
      durationMs: defaultLeaseMs,
    });
    const { node } = membership.self;
    return LeaseRenewer.create({ ...this.#options, lease, node, listNodes });
  }

  /** This process in leases and orders. */
  get #process(): string {
    const { node, incarnation } = this.#options.membership.self;
    return `${node}/${incarnation}`;
  }

  /**
   * Lists live nodes of a data centre, or all live nodes when it has none: its
   * engines may outlive its nodes.
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
