/**
 * The data plane of a node: routing of model requests and plain calls, with the
 * teams' limits and the retry budget that they share.
 */

import {
  type Disposable,
  DisposableStore,
} from "@almondcrank/common/disposables.ts";
import type { ObjectStore } from "@almondcrank/infrastructure/object_store.ts";
import { ClaimCleaner } from "@almondcrank/routing/keyed_calls/claim_cleaner.ts";
import { EndpointLimits } from "@almondcrank/routing/limits/endpoint_limits.ts";
import { QuarantineArchive } from "@almondcrank/routing/quarantine/quarantine_archive.ts";
import { LoadTable } from "@almondcrank/routing/choice/load_table.ts";
import { PlainLoads } from "@almondcrank/routing/choice/plain_loads.ts";
import { EndpointRetries } from "@almondcrank/routing/repeats/endpoint_retries.ts";
import { NodePlainRouter } from "@almondcrank/routing/routers/node_plain_router.ts";
import { NodeModelRouter } from "@almondcrank/routing/routers/node_model_router.ts";
import { TeamLimits } from "@almondcrank/routing/limits/team_limits.ts";
import type { Cluster } from "./cluster.ts";
import { EndpointClients } from "./endpoint_clients.ts";
import { LoadCollector } from "./load_collector.ts";
import { NodeQuarantine } from "./node_quarantine.ts";
import type { NodeServices } from "./node_services.ts";
import { NodeKeyPeers, NodeStreamPeers } from "./request_peers.ts";

/** Twice the lifetime of idempotency keys; a claim may be read that long. */
const claimRetentionMs = 1_800_000;

/** Options of `DataPlane`. */
export interface DataPlaneOptions extends NodeServices {
  readonly cluster: Cluster;
  readonly store: ObjectStore;
}

/** Routers of one node and the state that they share. */
export class DataPlane implements Disposable {
  readonly endpoints: EndpointClients;
  readonly loads: LoadTable;
  readonly loadCollector: LoadCollector;
  readonly models: NodeModelRouter;
  readonly calls: NodePlainRouter;
  readonly #cleaner: ClaimCleaner;
  readonly #disposables = DisposableStore.create();

  private constructor(options: DataPlaneOptions) {
    const { clock, cluster, settings, store } = options;
    const { membership, requestClients: clients } = cluster;
    const { self } = membership;
    const configuration = cluster.configuration;
    const peers = { membership, clients };
    const common = { ...options, configuration };
    const retryBudget = EndpointRetries.create(options);
    const limits = {
      models: TeamLimits.create({ ...common, pool: "models", unit: "tokens" }),
      calls: TeamLimits.create({ ...common, pool: "calls", unit: "requests" }),
    };
    this.endpoints = this.#disposables.register(EndpointClients.create(clock));
    const endpointLimits = EndpointLimits.create({
      clock,
      hasher: options.hasher,
      self: self.node,
    });
    this.loads = LoadTable.create({ clock, limits: endpointLimits });
    const plainLoads = PlainLoads.create({
      clock,
      limits: endpointLimits,
      isLeaving: (endpoint) => membership.isLeaving(endpoint),
    });
    this.loadCollector = this.#disposables.register(LoadCollector.create({
      ...common,
      membership,
      endpoints: this.endpoints,
      loads: this.loads,
      plainLoads,
      endpointLimits,
      modelLimits: limits.models,
      callLimits: limits.calls,
    }));
    const quarantineLog = options.log.createChild("quarantine");
    const nodeQuarantine = this.#disposables.register(NodeQuarantine.create({
      ...options,
      log: quarantineLog,
      membership,
    }));
    const { quarantine } = nodeQuarantine;
    this.#disposables.register(QuarantineArchive.create({
      ...options,
      log: quarantineLog,
      quarantine,
      readWallTime: () => clock.wallTime(),
      isOwner: (part) => nodeQuarantine.isProber(part),
    }));
    this.models = this.#disposables.register(NodeModelRouter.create({
      ...common,
      log: options.log.createChild("models"),
      nodeName: self.node,
      incarnation: self.incarnation,
      engines: (endpoint) => this.endpoints.findEngine(endpoint),
      loads: this.loads,
      limiter: limits.models,
      retries: retryBudget,
      peers: NodeStreamPeers.create(peers),
      quarantine,
      policy: { kind: settings.policy },
    }));
    const keyPeers = NodeKeyPeers.create(peers);
    const identity = { node: self.node, incarnation: self.incarnation };
    this.#cleaner = ClaimCleaner.create({
      ...common,
      identity,
      peers: keyPeers,
      retainMs: claimRetentionMs,
    });
    this.calls = NodePlainRouter.create({
      ...common,
      log: options.log.createChild("calls"),
      endpoints: (endpoint) => this.endpoints.findPlain(endpoint),
      loads: plainLoads,
      identity,
      sharedKey: settings.peerKey,
      peers: keyPeers,
      claims: store,
      limiter: limits.calls,
      retryBudget,
      quarantine,
    });
    this.#disposables.register(configuration.onChange((next) => {
      this.loads.apply(next.endpoints);
      this.endpoints.apply(next);
    }));
  }

  static create(options: DataPlaneOptions): DataPlane {
    return new DataPlane(options);
  }

  /** Starts polling endpoints, exchanging loads, and removing old claims. */
  start(): void {
    this.loadCollector.start();
    this.#disposables.register(this.#cleaner.start());
  }

  dispose(): void {
    this.#disposables.dispose();
  }
}
