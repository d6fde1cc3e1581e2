/**
 * A node among its peers: listener, clients, membership, configuration.
 */

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

const requestConnectionsPerPeer = 64;

/** What a cluster is made with. */
export interface ClusterOptions extends NodeServices {
  readonly store: ObjectStore;
  readonly handlers: RequestHandlers;
}

/** The node's links to its peers. */
export class Cluster implements Disposable {
  readonly server: PeerServer;
  /** Calls of the request paths, which may take long. */
  readonly requestClients: PeerClients<NodeRouter>;
  readonly membership: ClusterMembership;
  readonly configuration: ConfigurationDistributor;
  readonly #disposables: DisposableStore;

  private constructor(
    server: PeerServer,
    links: Links,
    disposables: DisposableStore,
  ) {
    this.server = server;
    this.requestClients = links.requests;
    this.membership = links.membership;
    this.configuration = links.spread;
    this.#disposables = disposables;
  }

  /** Starts listening for peers; `start` begins to talk to them. */
  static async open(options: ClusterOptions): Promise<Cluster> {
    const { settings, log, metrics } = options;
    const disposables = DisposableStore.create();
    const late = LateValue.create<Links>("membership");
    const router = createNodeRouter({
      handleExchange: (request) =>
        late.read().membership.handleExchange(request),
      handleAnnouncement: (news) =>
        late.read().membership.handleAnnouncement(news),
      handleConfigurationRequest: (request) =>
        late.read().spread.handleConfigurationRequest(request),
    }, options.handlers);
    const server = disposables.register(
      await PeerServer.open({
        address: settings.listen.peers,
        key: settings.peerKey,
        router,
        log: log.createChild("peers"),
        metrics,
      }),
    );
    const links = createLinks(options, server.address, disposables);
    late.set(links);
    return new Cluster(server, links, disposables);
  }

  /** Begins to talk to peers and to watch the store. */
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

interface Links {
  readonly requests: PeerClients<NodeRouter>;
  readonly membership: ClusterMembership;
  readonly spread: ConfigurationDistributor;
}

function createLinks(
  options: ClusterOptions,
  boundAddress: string,
  disposables: DisposableStore,
): Links {
  const { settings, clock, random, metrics, store } = options;
  const log = options.log.createChild("peers");
  const clients = disposables.register(
    PeerClients.create<NodeRouter>({ key: settings.peerKey, metrics }),
  );
  // Long calls have connections of their own, so that heartbeats never wait.
  const requests = disposables.register(
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
  const head = ConfigurationReader.create(store);
  const spread: ConfigurationDistributor = disposables.register(
    ConfigurationDistributor.create({
      membership,
      transport,
      store: head,
      clock,
      random,
      metrics,
      log,
    }),
  );
  const index = ServiceIndex.create(spread);
  return { requests, membership, spread };
}
