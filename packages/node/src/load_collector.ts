/**
 * Collects the endpoints' loads from this node's polls and from peers' reports,
 * and passes them to the load tables. Runs the limits updater, through which nodes
 * exchange the teams' demand, and marks leaving endpoints in the load table.
 */

import { Left, Right } from "purify-ts";
import type {
  Configuration,
  Endpoint,
} from "@almondcrank/common/configuration.ts";
import {
  createDisposable,
  type Disposable,
  DisposableStore,
} from "@almondcrank/common/disposables.ts";
import type { ClusterMembership } from "@almondcrank/membership/cluster_membership.ts";
import {
  EndpointPoller,
  type LoadReader,
} from "@almondcrank/membership/endpoint_poller.ts";
import type { ConfigurationDistributor } from "@almondcrank/membership/configuration_distributor.ts";
import type {
  EndpointLoad,
  NodeReport,
} from "@almondcrank/membership/membership.ts";
import { LimitsUpdater } from "@almondcrank/routing/limits/limits_updater.ts";
import type { EndpointLimits } from "@almondcrank/routing/limits/endpoint_limits.ts";
import type { LoadTable } from "@almondcrank/routing/choice/load_table.ts";
import type { PlainLoads } from "@almondcrank/routing/choice/plain_loads.ts";
import type { TeamLimits } from "@almondcrank/routing/limits/team_limits.ts";
import type { EndpointClients } from "./endpoint_clients.ts";
import type { NodeServices } from "./node_services.ts";

/** Interval at which the shares of endpoints' limits are computed. */
const endpointLimitsMs = 250;

/** Options of `LoadCollector`. */
export interface LoadCollectorOptions extends NodeServices {
  readonly membership: ClusterMembership;
  readonly configuration: ConfigurationDistributor;
  readonly endpoints: EndpointClients;
  readonly loads: LoadTable;
  readonly plainLoads: PlainLoads;
  readonly endpointLimits: EndpointLimits;
  /** Limits of model services, counted in tokens. */
  readonly modelLimits: TeamLimits;
  /** Limits of plain services, counted in calls. */
  readonly callLimits: TeamLimits;
}

/** Latest loads of all endpoints as one node knows them. */
export class LoadCollector implements Disposable {
  readonly #options: LoadCollectorOptions;
  readonly #disposables = DisposableStore.create();
  readonly #latest = new Map<string, EndpointLoad>();
  readonly #poller: EndpointPoller;
  readonly #limits: LimitsUpdater;

  private constructor(options: LoadCollectorOptions) {
    this.#options = options;
    const { membership, loads, configuration } = options;
    this.#poller = this.#disposables.register(EndpointPoller.create({
      ...options,
      log: options.log.createChild("poller"),
      reader: createLoadReader(options.endpoints),
    }));
    this.#limits = this.#disposables.register(LimitsUpdater.create({
      ...options,
      onLoad: this.#poller.onLoad,
      modelLimits: options.modelLimits,
      plainLimits: options.callLimits,
    }));
    for (
      const subscription of [
        this.#poller.onLoad((load) => this.#record(load)),
        membership.onNodeReport((report) => this.#recordNodeReport(report)),
        configuration.onChange((next) => this.#applyConfiguration(next)),
        membership.onLeaving(({ endpoint, remainingMs }) =>
          loads.markLeaving(endpoint, remainingMs)
        ),
      ]
    ) this.#disposables.register(subscription);
  }

  static create(options: LoadCollectorOptions): LoadCollector {
    return new LoadCollector(options);
  }

  /** Latest load of each endpoint, by its name. */
  get latest(): ReadonlyMap<string, EndpointLoad> {
    return this.#latest;
  }

  /** Starts polling and recomputing limits. */
  start(): void {
    this.#poller.start();
    this.#limits.start();
    const timer = setInterval(
      () => this.#refreshEndpointLimits(),
      endpointLimitsMs,
    );
    this.#disposables.register(createDisposable(() => clearInterval(timer)));
  }

  dispose(): void {
    this.#disposables.dispose();
  }

  #record(load: EndpointLoad): void {
    this.#latest.set(load.endpoint, load);
    this.#options.loads.record(load);
    this.#options.plainLoads.record(load);
  }

  #recordNodeReport(report: NodeReport): void {
    for (const load of report.loads) this.#record(load);
    for (const { endpoint, remainingMs } of report.leaving) {
      this.#options.loads.markLeaving(endpoint, remainingMs);
    }
  }

  #refreshEndpointLimits(): void {
    const { membership, endpointLimits } = this.#options;
    const others = membership.list().filter(({ state }) => state !== "leaving")
      .map(({ identity }) => identity.node);
    endpointLimits.refresh([...new Set([...others, membership.self.node])]);
  }

  /** Removes endpoints that are no longer in force. */
  #applyConfiguration({ endpoints }: Configuration): void {
    const names = new Set(endpoints.map(({ name }) => name));
    for (const name of this.#latest.keys()) {
      if (!names.has(name)) this.#latest.delete(name);
    }
  }
}

/**
 * Reads loads of engines and of plain endpoints in one form; the measures that
 * plain endpoints lack are 0.
 */
function createLoadReader(clients: EndpointClients): LoadReader {
  return {
    readLoad: async (endpoint: Endpoint) => {
      const kind = clients.findKind(endpoint);
      if (kind === "model") {
        const load = await clients.findEngine(endpoint).readLoad();
        return load.isLeft() ? Left(load.extract() as never) : load;
      }
      const load = await clients.findPlain(endpoint).readLoad();
      return load.chain(({ ageMs, running, queued, requestsPerSecond }) =>
        Right({
          requestsPerSecond,
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
