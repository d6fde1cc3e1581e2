/**
 * Updates the limits of model and plain services from membership data.
 *
 * Nodes of the own data centre report demand and loads one by one, other data
 * centres as sums. Endpoints of other data centres are counted from their
 * summaries and assumed to have as many slots as those whose load is known.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { ConfigurationSource } from "@almondcrank/common/configuration.ts";
import {
  type Disposable,
  DisposableStore,
} from "@almondcrank/common/disposables.ts";
import type { Event } from "@almondcrank/common/emitter.ts";
import type {
  EndpointLoad,
  Member,
  NodeIdentity,
  NodeReport,
  TeamDemand,
} from "@almondcrank/membership/membership.ts";
import type { ZoneAggregate } from "@almondcrank/membership/zone_summary.ts";
import {
  type PoolCapacity,
  PoolCapacityMeter,
} from "../choice/pool_capacity.ts";
import type { PeerDemand, TeamLimits } from "./team_limits.ts";

const updateMs = 1_000;
const maxNodeDemandAgeMs = 5_000;
/** Summaries of data centres are sent every 4 s and take time to spread. */
const maxZoneSummaryAgeMs = 12_000;
const maxLoadAgeMs = 10_000;

/** The part of the membership that the updater uses. */
export interface LimitsMembership {
  readonly self: NodeIdentity;
  list(): readonly Member[];
  setDemand(demand: readonly TeamDemand[]): void;
  readonly onNodeReport: Event<NodeReport>;
  readonly onAggregate: Event<ZoneAggregate>;
}

/** Options of an updater. */
export interface LimitsUpdaterOptions {
  readonly clock: Clock;
  readonly configuration: ConfigurationSource;
  readonly membership: LimitsMembership;
  /** Fires for each load that this node polls itself. */
  readonly onLoad: Event<EndpointLoad>;
  /** Limits of all model services, in tokens. */
  readonly modelLimits: TeamLimits;
  /** Limits of all plain services, in requests. */
  readonly plainLimits: TeamLimits;
}

interface Timed<T> {
  readonly value: T;
  /** Monotonic time to which the value refers, in milliseconds. */
  readonly at: number;
}

type ServiceKind = "model" | "plain";

/** Updates the limits of one node. */
export class LimitsUpdater implements Disposable {
  readonly #options: LimitsUpdaterOptions;
  readonly #store = DisposableStore.create();
  readonly #stopped = new AbortController();
  readonly #nodeDemand = new Map<string, Timed<readonly TeamDemand[]>>();
  readonly #zones = new Map<string, Timed<ZoneAggregate>>();
  readonly #loads = new Map<string, Timed<EndpointLoad>>();
  readonly #meters = {
    model: PoolCapacityMeter.create(),
    plain: PoolCapacityMeter.create(),
  };

  private constructor(options: LimitsUpdaterOptions) {
    this.#options = options;
  }

  static create(options: LimitsUpdaterOptions): LimitsUpdater {
    return new LimitsUpdater(options);
  }

  /** Subscribes to membership events and updates the limits each second. */
  start(): void {
    const { clock, membership, onLoad } = this.#options;
    const addLoad = (load: EndpointLoad): void => {
      const at = clock.now() - load.ageMs;
      this.#loads.set(load.endpoint, { value: load, at });
    };
    this.#store.register(onLoad(addLoad));
    this.#store.register(membership.onNodeReport(({ node, demand, loads }) => {
      this.#nodeDemand.set(node, { value: demand, at: clock.now() });
      for (const load of loads) addLoad(load);
    }));
    this.#store.register(membership.onAggregate((zone) => {
      this.#zones.set(zone.zone, { value: zone, at: clock.now() });
    }));
    void this.#run();
  }

  /** Recomputes the limits and publishes this node's demand. */
  update(): void {
    this.#removeStale();
    const { plainLimits, membership, modelLimits } = this.#options;
    const peers = this.#listPeers();
    const alive = membership.list().filter(({ state }) => state === "alive");
    const liveNodes = 1 + alive.length;
    modelLimits.update({
      peers,
      liveNodes,
      capacity: this.#computeCapacity("model"),
    });
    plainLimits.update({
      peers,
      liveNodes,
      capacity: this.#computeCapacity("plain"),
    });
    membership.setDemand(
      sumDemand(modelLimits.readDemand(), plainLimits.readDemand()),
    );
  }

  dispose(): void {
    this.#stopped.abort();
    this.#store.dispose();
  }

  async #run(): Promise<void> {
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      this.update();
      await this.#options.clock.sleep(updateMs, signal);
    }
  }

  #listPeers(): readonly PeerDemand[] {
    const { membership } = this.#options;
    const alive = membership.list().filter(({ state }) => state === "alive");
    const peers: PeerDemand[] = [];
    for (const { identity } of alive) {
      const demand = this.#nodeDemand.get(identity.node);
      if (demand !== undefined) peers.push({ nodes: 1, demand: demand.value });
    }
    for (const [zone, { value }] of this.#zones) {
      if (zone === membership.self.zone) continue;
      const nodes = alive.filter(({ identity }) => identity.zone === zone);
      if (nodes.length === 0) continue;
      peers.push({ nodes: nodes.length, demand: value.demand });
    }
    return peers;
  }

  #computeCapacity(kind: ServiceKind): PoolCapacity | undefined {
    const { services, endpoints } = this.#options.configuration.current();
    const names = new Set(
      services.filter((service) => service.kind === kind)
        .map(({ name }) => name),
    );
    const loads: EndpointLoad[] = [];
    for (const { name, service } of endpoints) {
      const load = this.#loads.get(name);
      if (load !== undefined && names.has(service)) loads.push(load.value);
    }
    const localCapacity = this.#meters[kind].compute(loads);
    const reachable = loads.filter((load) => load.reachable).length;
    if (localCapacity === undefined || reachable === 0) return undefined;
    const totalPerLocal = (reachable + this.#countRemoteEndpoints(names)) /
      reachable;
    return {
      slots: localCapacity.slots * totalPerLocal,
      queued: localCapacity.queued * totalPerLocal,
    };
  }

  /** Counts the endpoints that other data centres report as reachable. */
  #countRemoteEndpoints(services: ReadonlySet<string>): number {
    let count = 0;
    for (const [zone, { value }] of this.#zones) {
      if (zone === this.#options.membership.self.zone) continue;
      for (const { service, reachable } of value.services) {
        if (services.has(service)) count += reachable;
      }
    }
    return count;
  }

  #removeStale(): void {
    const now = this.#options.clock.now();
    removeBefore(this.#nodeDemand, now - maxNodeDemandAgeMs);
    removeBefore(this.#zones, now - maxZoneSummaryAgeMs);
    removeBefore(this.#loads, now - maxLoadAgeMs);
  }
}

function removeBefore<T>(entries: Map<string, Timed<T>>, time: number): void {
  for (const [key, { at }] of entries) {
    if (at < time) entries.delete(key);
  }
}

/** Sums demand by team. */
export function sumDemand(
  ...lists: readonly (readonly TeamDemand[])[]
): readonly TeamDemand[] {
  const totals = new Map<string, TeamDemand>();
  for (const { team, requestsPerSecond, tokensPerSecond } of lists.flat()) {
    const total = totals.get(team);
    totals.set(team, {
      team,
      requestsPerSecond: requestsPerSecond + (total?.requestsPerSecond ?? 0),
      tokensPerSecond: tokensPerSecond + (total?.tokensPerSecond ?? 0),
    });
  }
  return [...totals.values()];
}
