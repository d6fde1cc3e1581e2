/**
 * What the nodes tell each other about load, demand and leaving endpoints, and
 * who at this node learns of it.
 */

import { Left, Right } from "purify-ts";
import type {
  Configuration,
  Endpoint,
} from "@almondcrank/common/configuration.ts";
import {
  type Disposable,
  DisposableStore,
} from "@almondcrank/common/disposables.ts";
import type { ClusterMembership } from "@almondcrank/membership/cluster_membership.ts";
import {
  EndpointPoller,
  type LoadReader,
} from "@almondcrank/membership/endpoint_poller.ts";
import type {
  Digest,
  EndpointLoad,
  TeamDemand,
} from "@almondcrank/membership/membership.ts";
import type { ZoneAggregate } from "@almondcrank/membership/zone_summary.ts";
import type { LoadTable } from "@almondcrank/routing/load_table.ts";
import { PoolCapacityMeter } from "@almondcrank/routing/pool_capacity.ts";
import type {
  LimitsUpdate,
  PeerDemand,
  TeamLimits,
} from "@almondcrank/routing/team_limits.ts";
import type { EndpointClients } from "./endpoint_clients.ts";
import type { NodeServices } from "./node_services.ts";

const limitsPeriodMs = 1_000;
/** Age at which what a peer said of its demand no longer counts. */
const demandMaxAgeMs = 5_000;

/** What the exchange works with. */
export interface LoadExchangeOptions extends NodeServices {
  readonly membership: ClusterMembership;
  readonly configuration: { current(): Configuration };
  readonly endpoints: EndpointClients;
  readonly loads: LoadTable;
  /** Limits of model services, counted in tokens. */
  readonly modelLimits: TeamLimits;
  /** Limits of plain services, counted in calls. */
  readonly callLimits: TeamLimits;
}

interface HeardDemand extends PeerDemand {
  readonly at: number;
}

/** Loads and demand of one node's view. */
export class LoadExchange implements Disposable {
  readonly #options: LoadExchangeOptions;
  readonly #disposables = DisposableStore.create();
  readonly #stopped = new AbortController();
  readonly #latest = new Map<string, EndpointLoad>();
  readonly #demand = new Map<string, HeardDemand>();
  readonly #modelCapacity = PoolCapacityMeter.create();
  readonly #callCapacity = PoolCapacityMeter.create();
  readonly #poller: EndpointPoller;

  private constructor(options: LoadExchangeOptions) {
    this.#options = options;
    const { membership, loads } = options;
    this.#poller = this.#disposables.register(EndpointPoller.create({
      ...options,
      log: options.log.part("poller"),
      reader: createLoadReader(options.endpoints),
    }));
    for (
      const subscription of [
        this.#poller.onLoad((load) => this.#record(load)),
        membership.onDigest((digest) => this.#recordDigest(digest)),
        membership.onAggregate((aggregate) => this.#recordZone(aggregate)),
        membership.onLeaving(({ endpoint, remainingMs }) =>
          loads.markLeaving(endpoint, remainingMs)
        ),
      ]
    ) this.#disposables.register(subscription);
  }

  static create(options: LoadExchangeOptions): LoadExchange {
    return new LoadExchange(options);
  }

  /** Latest load of each endpoint, by its name. */
  get latest(): ReadonlyMap<string, EndpointLoad> {
    return this.#latest;
  }

  /** Starts to poll and to recompute limits. */
  start(): void {
    this.#poller.start();
    void this.#runLimits();
  }

  dispose(): void {
    this.#stopped.abort();
    this.#disposables.dispose();
  }

  #record(load: EndpointLoad): void {
    this.#latest.set(load.endpoint, load);
    this.#options.loads.record(load);
  }

  #recordDigest(digest: Digest): void {
    for (const load of digest.loads) this.#record(load);
    for (const { endpoint, remainingMs } of digest.leaving) {
      this.#options.loads.markLeaving(endpoint, remainingMs);
    }
    const at = this.#options.clock.now();
    const { demand } = digest;
    this.#demand.set(`node/${digest.node}`, { nodes: 1, demand, at });
  }

  #recordZone({ zone, demand }: ZoneAggregate): void {
    const at = this.#options.clock.now();
    const nodes = this.#options.membership.listAlive(zone).length;
    this.#demand.set(`zone/${zone}`, { nodes, demand, at });
  }

  async #runLimits(): Promise<void> {
    const { clock, modelLimits, callLimits, membership } = this.#options;
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      const peers = this.#listDemand();
      const liveNodes = Math.max(1, membership.listAlive().length);
      this.#removeWithdrawn();
      const update = (
        kind: "model" | "plain",
        meter: PoolCapacityMeter,
      ): LimitsUpdate => ({
        peers,
        liveNodes,
        capacity: meter.compute(this.#listLoads(kind)),
      });
      modelLimits.update(update("model", this.#modelCapacity));
      callLimits.update(update("plain", this.#callCapacity));
      membership.setDemand(
        mergeDemand(modelLimits.readDemand(), callLimits.readDemand()),
      );
      await clock.sleep(limitsPeriodMs, signal);
    }
  }

  #listDemand(): readonly PeerDemand[] {
    const oldest = this.#options.clock.now() - demandMaxAgeMs;
    for (const [name, { at }] of this.#demand) {
      if (at < oldest) this.#demand.delete(name);
    }
    return [...this.#demand.values()];
  }

  #listLoads(kind: "model" | "plain"): readonly EndpointLoad[] {
    const { services, endpoints } = this.#options.configuration.current();
    const names = new Set(
      services.filter((service) => service.kind === kind)
        .map((service) => service.name),
    );
    return endpoints.filter(({ service }) => names.has(service))
      .flatMap(({ name }) => this.#latest.get(name) ?? []);
  }

  #removeWithdrawn(): void {
    const { endpoints } = this.#options.configuration.current();
    const names = new Set(endpoints.map(({ name }) => name));
    for (const name of this.#latest.keys()) {
      if (!names.has(name)) this.#latest.delete(name);
    }
  }
}

/** Adds up the demand of both kinds of services by team. */
function mergeDemand(
  models: readonly TeamDemand[],
  calls: readonly TeamDemand[],
): readonly TeamDemand[] {
  const teams = new Map<string, TeamDemand>();
  for (const demand of [...models, ...calls]) {
    const known = teams.get(demand.team);
    teams.set(demand.team, {
      team: demand.team,
      requestsPerSecond: demand.requestsPerSecond +
        (known?.requestsPerSecond ?? 0),
      tokensPerSecond: demand.tokensPerSecond + (known?.tokensPerSecond ?? 0),
    });
  }
  return [...teams.values()];
}

/** Reads loads of engines and of plain services alike. */
function createLoadReader(clients: EndpointClients): LoadReader {
  return {
    readLoad: async (endpoint: Endpoint) => {
      const kind = clients.findKind(endpoint);
      if (kind === "model") {
        const load = await clients.findEngine(endpoint).readLoad();
        return load.isLeft() ? Left(load.extract() as never) : load;
      }
      const load = await clients.findPlain(endpoint).readLoad();
      return load.chain(({ ageMs, running, queued }) =>
        Right({
          ageMs,
          running,
          queued,
          slots: 0,
          queuedTokens: 0,
          prefillTokensPerSecond: 0,
          betweenTokensMs: 0,
        })
      );
    },
  };
}
