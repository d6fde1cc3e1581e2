/**
 * A node's connection to its peers: peer listener and clients, membership, and
 * the exchange of the configuration.
 */

import { openWhenFree } from "@almondcrank/common/address_wait.ts";
import type { Configuration } from "@almondcrank/common/configuration.ts";
import {
  type Disposable,
  DisposableStore,
} from "@almondcrank/common/disposables.ts";
import { LateValue } from "@almondcrank/common/late_value.ts";
import { ClusterMembership } from "@almondcrank/membership/cluster_membership.ts";
import { ConfigurationDistributor } from "@almondcrank/membership/configuration_distributor.ts";
import { createIncarnation } from "@almondcrank/membership/incarnation.ts";
import { PeerClients } from "@almondcrank/membership/peer_clients.ts";
import { PeerServer } from "@almondcrank/membership/peer_server.ts";
import { TrpcPeerTransport } from "@almondcrank/membership/peer_transport.ts";
import { ConfigurationReader } from "@almondcrank/infrastructure/configuration_reader.ts";
import type { ObjectStore } from "@almondcrank/infrastructure/object_store.ts";
import { ServiceIndex } from "./service_index.ts";
import type { NodeServices } from "./node_services.ts";
import {
  createNodeRouter,
  type NodeRouter,
  type RequestHandlers,
} from "./peer_router.ts";

/** Limit of concurrent connections to one peer for calls of the data plane. */
const requestConnectionsPerPeer = 64;

/** Options of `Cluster.open`. */
export interface ClusterOptions extends NodeServices {
  readonly store: ObjectStore;
  readonly handlers: RequestHandlers;
}

/** Peer server, peer clients, membership and configuration of one node. */
export class Cluster implements Disposable {
  readonly server: PeerServer;
  /** Clients for calls of the data plane, which may take long. */
  readonly requestClients: PeerClients<NodeRouter>;
  readonly membership: ClusterMembership;
  /** Configuration in force, kept up to date from the store and from peers. */
  readonly configuration: ConfigurationDistributor;
  readonly #disposables: DisposableStore;

  private constructor(
    server: PeerServer,
    parts: ClusterParts,
    disposables: DisposableStore,
  ) {
    this.server = server;
    this.requestClients = parts.requestClients;
    this.membership = parts.membership;
    this.configuration = parts.configuration;
    this.#disposables = disposables;
  }

  /**
   * Opens the listener for peers; rejects when its address cannot be bound.
   *
   * Nothing is sent to peers before `start`.
   */
  static async open(options: ClusterOptions): Promise<Cluster> {
    const { settings, clock, log, metrics } = options;
    const disposables = DisposableStore.create();
    const late = LateValue.create<ClusterParts>("membership");
    const router = createNodeRouter({
      handleExchange: (request) =>
        late.read().membership.handleExchange(request),
      handleAnnouncement: (announcement) =>
        late.read().membership.handleAnnouncement(announcement),
      handleConfigurationRequest: (request) =>
        late.read().configuration.handleConfigurationRequest(request),
    }, options.handlers);
    const server = disposables.register(
      await openWhenFree(() =>
        PeerServer.open({
          address: settings.listen.peers,
          key: settings.peerKey,
          router,
          log: log.createChild("peers"),
          metrics,
          connections: options.connections,
        }), { clock, log, listener: "peers" }),
    );
    const parts = createParts(options, server.address, disposables);
    late.set(parts);
    return new Cluster(server, parts, disposables);
  }

  /** Starts calling peers and watching the store. */
  start(): void {
    this.membership.start();
    this.configuration.start();
  }

  /** Configuration in force. */
  current(): Configuration {
    return this.configuration.current();
  }

  dispose(): void {
    this.#disposables.dispose();
  }
}

interface ClusterParts {
  readonly requestClients: PeerClients<NodeRouter>;
  readonly membership: ClusterMembership;
  readonly configuration: ConfigurationDistributor;
}

function createParts(
  options: ClusterOptions,
  boundAddress: string,
  disposables: DisposableStore,
): ClusterParts {
  const { settings, clock, random, metrics, store } = options;
  const log = options.log.createChild("peers");
  const clients = disposables.register(
    PeerClients.create<NodeRouter>({ key: settings.peerKey, metrics }),
  );
  // Long calls use separate connections, so that heartbeats do not queue behind
  // them.
  const requestClients = disposables.register(
    PeerClients.create<NodeRouter>({
      key: settings.peerKey,
      metrics,
      connectionsPerPeer: requestConnectionsPerPeer,
    }),
  );
  const transport = TrpcPeerTransport.create(clients, (client) => client);
  const membership = disposables.register(ClusterMembership.create({
    ...options,
    log,
    transport,
    seeds: settings.peers,
    self: {
      node: settings.node,
      incarnation: createIncarnation(clock, random),
      zone: settings.zone,
      region: settings.region,
      peerAddress: settings.listen.advertisedPeers ?? boundAddress,
    },
    findService: (name) => index.find(name),
  }));
  const configurationReader = ConfigurationReader.create(store);
  const configuration: ConfigurationDistributor = disposables.register(
    ConfigurationDistributor.create({
      membership,
      transport,
      store: configurationReader,
      clock,
      random,
      metrics,
      log,
    }),
  );
  const index = ServiceIndex.create(configuration);
  return {
    requestClients,
    membership,
    configuration,
  };
}
