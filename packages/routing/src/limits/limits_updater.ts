/**
 * Feeds the limits of model and plain services from what the members tell.
 *
 * Nodes of the own data centre report demand and loads one by one, other data
 * centres in sum. Endpoints of other data centres are counted by their
 * summaries and taken to have as many slots as those whose load is known.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { ConfigurationSource } from "@almondcrank/common/configuration.ts";
import {
  type Disposable,
  DisposableStore,
} from "@almondcrank/common/disposables.ts";
import type { Event } from "@almondcrank/common/emitter.ts";
import type {
  Digest,
  EndpointLoad,
  Member,
  NodeIdentity,
  TeamDemand,
} from "@almondcrank/membership/membership.ts";
import type { ZoneAggregate } from "@almondcrank/membership/zone_summary.ts";
import {
  type PoolCapacity,
  PoolCapacityMeter,
} from "../choice/pool_capacity.ts";
import type { PeerDemand, TeamLimits } from "./team_limits.ts";

const updateMs = 1_000;
const digestFreshMs = 5_000;
/** Summaries of data centres come every 4 s and take time to spread. */
const zoneFreshMs = 12_000;
const loadFreshMs = 10_000;

/** What the feed needs of the membership. */
export interface LimitsMembership {
  readonly self: NodeIdentity;
  list(): readonly Member[];
  setDemand(demand: readonly TeamDemand[]): void;
  readonly onDigest: Event<Digest>;
  readonly onAggregate: Event<ZoneAggregate>;
}

/** Options of the feed. */
export interface LimitsUpdaterOptions {
  readonly clock: Clock;
  readonly configuration: ConfigurationSource;
  readonly membership: LimitsMembership;
  /** Loads that this node reads itself. */
  readonly onLoad: Event<EndpointLoad>;
  /** Limits of all model services, in tokens. */
  readonly modelLimits: TeamLimits;
  /** Limits of all plain services, in requests. */
  readonly plainLimits: TeamLimits;
}

interface Timed<T> {
  readonly value: T;
  readonly at: number;
}

type Kind = "model" | "plain";

/** Feed of one node. */
export class LimitsUpdater implements Disposable {
  readonly #options: LimitsUpdaterOptions;
  readonly #store = DisposableStore.create();
  readonly #stopped = new AbortController();
  readonly #digests = new Map<string, Timed<readonly TeamDemand[]>>();
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

  /** Listens to the members and updates the limits each second. */
  start(): void {
    const { clock, membership, onLoad } = this.#options;
    const addLoad = (load: EndpointLoad): void => {
      const at = clock.now() - load.ageMs;
      this.#loads.set(load.endpoint, { value: load, at });
    };
    this.#store.register(onLoad(addLoad));
    this.#store.register(membership.onDigest(({ node, demand, loads }) => {
      this.#digests.set(node, { value: demand, at: clock.now() });
      for (const load of loads) addLoad(load);
    }));
    this.#store.register(membership.onAggregate((zone) => {
      this.#zones.set(zone.zone, { value: zone, at: clock.now() });
    }));
    void this.#run();
  }

  /** Recomputes the limits and publishes this node's demand. */
  update(): void {
    this.#removeOld();
    const { plainLimits: calls, membership, modelLimits: models } =
      this.#options;
    const peers = this.#listPeers();
    const alive = membership.list().filter(({ state }) => state === "alive");
    const liveNodes = 1 + alive.length;
    models.update({ peers, liveNodes, capacity: this.#compute("model") });
    calls.update({ peers, liveNodes, capacity: this.#compute("plain") });
    membership.setDemand(
      sumDemand(models.readDemand(), calls.readDemand()),
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
      const digest = this.#digests.get(identity.node);
      if (digest !== undefined) peers.push({ nodes: 1, demand: digest.value });
    }
    for (const [zone, { value }] of this.#zones) {
      if (zone === membership.self.zone) continue;
      const nodes = alive.filter(({ identity }) => identity.zone === zone);
      if (nodes.length === 0) continue;
      peers.push({ nodes: nodes.length, demand: value.demand });
    }
    return peers;
  }

  #compute(kind: Kind): PoolCapacity | undefined {
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
    const known = this.#meters[kind].compute(loads);
    const reachable = loads.filter((load) => load.reachable).length;
    if (known === undefined || reachable === 0) return undefined;
    const scale = (reachable + this.#countElsewhere(names)) / reachable;
    return { slots: known.slots * scale, queued: known.queued * scale };
  }

  /** Endpoints that other data centres reach. */
  #countElsewhere(services: ReadonlySet<string>): number {
    let count = 0;
    for (const [zone, { value }] of this.#zones) {
      if (zone === this.#options.membership.self.zone) continue;
      for (const { service, reachable } of value.services) {
        if (services.has(service)) count += reachable;
      }
    }
    return count;
  }

  #removeOld(): void {
    const now = this.#options.clock.now();
    removeBefore(this.#digests, now - digestFreshMs);
    removeBefore(this.#zones, now - zoneFreshMs);
    removeBefore(this.#loads, now - loadFreshMs);
  }
}

function removeBefore<T>(entries: Map<string, Timed<T>>, time: number): void {
  for (const [key, { at }] of entries) {
    if (at < time) entries.delete(key);
  }
}

/** Adds up demand by team. */
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
