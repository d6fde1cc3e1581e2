/**
 * Reads the load of endpoints: two nodes of the endpoint's data centre each.
 *
 * Both pollers are chosen by rendezvous among the members that are alive, so no
 * agreement is needed, and a poller that dies is replaced as soon as it is
 * suspected. The first polls every second, the second less often: it only has
 * to notice an endpoint that the first one alone cannot reach.
 */

import type { Either } from "purify-ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type {
  Configuration,
  ConfigurationSource,
  Endpoint,
} from "@almondcrank/common/configuration.ts";
import {
  type Disposable,
  DisposableStore,
} from "@almondcrank/common/disposables.ts";
import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import {
  computeRendezvousOrder,
  type Hasher,
} from "@almondcrank/common/hashing.ts";
import type { KindError } from "@almondcrank/common/kind_error.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { Random } from "@almondcrank/common/random.ts";
import type { ClusterMembership } from "./cluster_membership.ts";
import type { EndpointLoad } from "./membership.ts";

const pollersPerEndpoint = 2;
const assignPeriodMs = 1_000;

/** Periods of reading one endpoint, in milliseconds. */
export interface PollPeriods {
  readonly firstMs: number;
  readonly secondMs: number;
}

export const defaultPollPeriods: PollPeriods = {
  firstMs: 1_000,
  secondMs: 4_000,
};

/** What an endpoint reports. A plain service leaves the token fields at 0. */
export type LoadReading = Omit<EndpointLoad, "endpoint" | "reachable">;

/** Reads the load of one endpoint within a deadline of its own. */
export interface LoadReader {
  readLoad(
    endpoint: Endpoint,
  ): Promise<Either<KindError<{ readonly kind: string }>, LoadReading>>;
}

/** Options of the poller. */
export interface EndpointPollerOptions {
  readonly membership: ClusterMembership;
  readonly configuration: ConfigurationSource;
  readonly reader: LoadReader;
  readonly hasher: Hasher;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly periods?: Partial<PollPeriods>;
}

interface Reading {
  readonly load: EndpointLoad;
  /** Monotonic time to which the load's age refers. */
  readonly readAt: number;
}

interface Task {
  readonly endpoint: Endpoint;
  readonly periodMs: number;
  readonly stopped: AbortController;
}

/** Polls this node's share of the endpoints. */
export class EndpointPoller implements Disposable {
  readonly #options: EndpointPollerOptions;
  readonly #periods: PollPeriods;
  readonly #disposables = DisposableStore.create();
  readonly #stopped = new AbortController();
  readonly #tasks = new Map<string, Task>();
  readonly #readings = new Map<string, Reading>();
  readonly #read = Emitter.create<EndpointLoad>();
  /** What the present tasks were computed from. */
  #assignedFor: Configuration | undefined;
  #assignedTo = "";

  private constructor(options: EndpointPollerOptions) {
    this.#options = options;
    this.#periods = { ...defaultPollPeriods, ...options.periods };
    this.#disposables.register(this.#read);
  }

  static create(options: EndpointPollerOptions): EndpointPoller {
    return new EndpointPoller(options);
  }

  /** Fires with each load that this node read. */
  get onLoad(): Event<EndpointLoad> {
    return this.#read.event;
  }

  /** Names of the endpoints that this node polls. */
  list(): readonly string[] {
    return [...this.#tasks.keys()];
  }

  start(): void {
    void this.#runAssign();
  }

  dispose(): void {
    this.#stopped.abort();
    for (const { stopped } of this.#tasks.values()) stopped.abort();
    this.#tasks.clear();
    this.#disposables.dispose();
  }

  /** Takes up and gives up endpoints as members and configuration change. */
  async #runAssign(): Promise<void> {
    const { clock } = this.#options;
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      if (this.#hasChanged()) this.#assign();
      await clock.sleep(assignPeriodMs, signal);
    }
  }

  /** Saves a rendezvous for each endpoint while nothing has changed. */
  #hasChanged(): boolean {
    const { configuration, membership } = this.#options;
    const next = configuration.current();
    const alive = [...membership.listAlive()].sort().join();
    if (next === this.#assignedFor && alive === this.#assignedTo) return false;
    this.#assignedFor = next;
    this.#assignedTo = alive;
    return true;
  }

  #assign(): void {
    const { configuration, metrics } = this.#options;
    const pollers = new Map<string, readonly string[]>();
    const wanted = new Set<string>();
    for (const endpoint of configuration.current().endpoints) {
      const nodes = this.#listPollers(endpoint.zone, pollers);
      const periodMs = this.#findPeriod(endpoint, nodes);
      if (periodMs === undefined) continue;
      wanted.add(endpoint.name);
      this.#startTask(endpoint, periodMs);
    }
    for (const name of this.#tasks.keys()) {
      if (!wanted.has(name)) this.#stopTask(name);
    }
    metrics.setGauge("endpoint_polls_assigned", this.#tasks.size);
  }

  /** Nodes that may poll a data centre's endpoints: its own, or else any. */
  #listPollers(
    zone: string,
    known: Map<string, readonly string[]>,
  ): readonly string[] {
    let nodes = known.get(zone);
    if (nodes === undefined) {
      const { membership } = this.#options;
      nodes = membership.listAlive(zone);
      if (nodes.length === 0) nodes = membership.listAlive();
      known.set(zone, nodes);
    }
    return nodes;
  }

  #findPeriod(
    endpoint: Endpoint,
    nodes: readonly string[],
  ): number | undefined {
    const { membership, hasher } = this.#options;
    const { node } = membership.self;
    if (!nodes.includes(node)) return undefined;
    const rank = computeRendezvousOrder(hasher, endpoint.name, nodes).indexOf(
      node,
    );
    if (rank >= pollersPerEndpoint) return undefined;
    return rank === 0 ? this.#periods.firstMs : this.#periods.secondMs;
  }

  #startTask(endpoint: Endpoint, periodMs: number): void {
    const running = this.#tasks.get(endpoint.name);
    const isSame = running?.periodMs === periodMs &&
      running.endpoint.address === endpoint.address;
    if (isSame) return;
    running?.stopped.abort();
    const task = { endpoint, periodMs, stopped: new AbortController() };
    this.#tasks.set(endpoint.name, task);
    void this.#runPolls(task);
  }

  #stopTask(name: string): void {
    this.#tasks.get(name)?.stopped.abort();
    this.#tasks.delete(name);
    if (this.#readings.delete(name)) this.#publish();
  }

  async #runPolls({ endpoint, periodMs, stopped }: Task): Promise<void> {
    const { clock, random, reader } = this.#options;
    const { signal } = stopped;
    // Spreads the reads of one node over the period.
    await clock.sleep(random.next() * Math.min(periodMs, 500), signal);
    while (!signal.aborted) {
      const startedAt = clock.now();
      const result = await reader.readLoad(endpoint);
      if (signal.aborted) return;
      result.caseOf({
        Left: ({ kind }) => this.#recordFailure(endpoint.name, kind),
        Right: (load) =>
          this.#record({
            ...load,
            endpoint: endpoint.name,
            reachable: true,
          }),
      });
      const elapsed = clock.now() - startedAt;
      await clock.sleep(Math.max(periodMs / 2, periodMs - elapsed), signal);
    }
  }

  #recordFailure(name: string, reason: string): void {
    const { metrics, log } = this.#options;
    metrics.count("endpoint_poll_failures_total", { reason });
    const last = this.#readings.get(name)?.load ?? createUnknownLoad(name);
    if (last.reachable) {
      log.warn("cannot read an endpoint's load.", { endpoint: name, reason });
    }
    this.#record({ ...last, ageMs: 0, reachable: false });
  }

  #record(load: EndpointLoad): void {
    const readAt = this.#options.clock.now();
    this.#readings.set(load.endpoint, { load, readAt });
    this.#read.fire(load);
    this.#publish();
  }

  #publish(): void {
    const now = this.#options.clock.now();
    const loads = [...this.#readings.values()].map(({ load, readAt }) => ({
      ...load,
      ageMs: load.ageMs + now - readAt,
    }));
    this.#options.membership.setLoads(loads);
  }
}

function createUnknownLoad(endpoint: string): EndpointLoad {
  return {
    endpoint,
    ageMs: 0,
    queued: 0,
    running: 0,
    slots: 0,
    queuedTokens: 0,
    prefillTokensPerSecond: 0,
    betweenTokensMs: 0,
    reachable: true,
  };
}
