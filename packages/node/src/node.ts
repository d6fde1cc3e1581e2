/**
 * One node: the callers', peers' and operators' listeners, the request paths
 * between them, and the order in which they start and end.
 */

import { randomBytes } from "node:crypto";
import { type Either, Left, Right } from "purify-ts";
import type { Address } from "@almondcrank/common/address.ts";
import { type Clock, SystemClock } from "@almondcrank/common/clock.ts";
import {
  type Configuration,
  emptyConfiguration,
} from "@almondcrank/common/configuration.ts";
import { DisposableStore } from "@almondcrank/common/disposables.ts";
import { type Hasher, openHasher } from "@almondcrank/common/hashing.ts";
import { HttpServer } from "@almondcrank/common/http_server.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import { EnginePool } from "@almondcrank/endpoint/engine_pool.ts";
import { HttpPlainEndpoint } from "@almondcrank/endpoint/http_plain_endpoint.ts";
import { ReleaseWriter } from "@almondcrank/fleet/release_writer.ts";
import type {
  Member,
  NodeIdentity,
} from "@almondcrank/membership/membership.ts";
import { PeerClients } from "@almondcrank/membership/peer_clients.ts";
import { PeerServer } from "@almondcrank/membership/peer_server.ts";
import { HeadReader } from "@almondcrank/platform/head_reader.ts";
import { HttpObjectStore } from "@almondcrank/platform/http_object_store.ts";
import { LoadTable } from "@almondcrank/routing/load_table.ts";
import { noLoadReports } from "@almondcrank/routing/plain_choice.ts";
import { RetryBudget } from "@almondcrank/routing/retry_budget.ts";
import { RoutedCalls } from "@almondcrank/routing/routed_calls.ts";
import { RoutedModels } from "@almondcrank/routing/routed_models.ts";
import { TeamDirectory } from "./authentication.ts";
import { createCallersRoutes, type Readiness } from "./callers_front.ts";
import { ChatFront } from "./chat_front.ts";
import type { NodeStatus, StreamList } from "./operator_messages.ts";
import { createOperatorsRoutes } from "./operators_front.ts";
import { createRequestRouter, type RequestRouter } from "./peer_router.ts";
import { PlainFront } from "./plain_front.ts";
import { RequestCounter } from "./request_counter.ts";
import { NodeKeyPeers, NodeStreamPeers } from "./request_peers.ts";
import { SeedMembership } from "./seed_membership.ts";
import type { NodeSettings } from "./settings.ts";

const incarnationBytes = 8;
const watchMs = 10_000;
const watchPauseMs = 250;

/** What a node is made from. */
export interface NodeOptions {
  readonly settings: NodeSettings;
  readonly log: Log;
}

/** Addresses a node listens on. */
export interface NodeListeners {
  readonly callers: Address;
  readonly peers: Address;
  readonly operators: Address;
}

/** A running node. */
export class Node {
  readonly #settings: NodeSettings;
  readonly #log: Log;
  readonly #clock: Clock = SystemClock.create();
  readonly #metrics = Metrics.create();
  readonly #random = Random.create();
  readonly #store = DisposableStore.create();
  readonly #lifetime = new AbortController();
  readonly #requests: RequestCounter;
  readonly #loads: LoadTable;
  readonly #engines: EnginePool;
  readonly #hasher: Hasher;
  #configuration: Configuration = emptyConfiguration;
  #isReady = false;
  #draining: Promise<void> | undefined;
  #identity!: NodeIdentity;
  #membership!: SeedMembership;
  #models!: RoutedModels;
  #calls!: RoutedCalls;
  #callers!: HttpServer;
  #operators!: HttpServer;
  #peers!: PeerServer;

  private constructor(options: NodeOptions, hasher: Hasher) {
    this.#settings = options.settings;
    this.#log = options.log;
    this.#hasher = hasher;
    this.#requests = RequestCounter.create(this.#clock);
    this.#loads = LoadTable.create({ clock: this.#clock });
    this.#engines = EnginePool.create(this.#clock);
    this.#store.register(this.#engines);
  }

  /** Starts a node; resolves once it listens. */
  static async open(options: NodeOptions): Promise<Node> {
    const node = new Node(options, await openHasher());
    try {
      await node.#start();
    } catch (thrown) {
      node.dispose();
      throw thrown;
    }
    return node;
  }

  /** Bound addresses. */
  get addresses(): NodeListeners {
    return {
      callers: this.#callers.address,
      peers: this.#peers.address,
      operators: this.#operators.address,
    };
  }

  /** Revision of the configuration in force. */
  get revision(): number {
    return this.#configuration.revision;
  }

  /** Stops taking requests, finishes or hands over the rest, and ends. */
  drain(): Promise<void> {
    this.#draining ??= this.#runDrain();
    return this.#draining;
  }

  /** Ends at once, cutting what is in progress. */
  dispose(): void {
    this.#lifetime.abort();
    this.#store.dispose();
  }

  async #start(): Promise<void> {
    const { settings } = this;
    const store = this.#openObjectStore();
    this.#peers = await this.#openPeers();
    this.#identity = {
      node: settings.node,
      incarnation: randomBytes(incarnationBytes).toString("hex"),
      zone: settings.zone,
      region: settings.region,
      peerAddress: settings.listen.advertisedPeers ?? this.#peers.address,
    };
    const clients = this.#store.register(
      PeerClients.create<RequestRouter>({
        key: settings.peerKey,
        metrics: this.#metrics,
      }),
    );
    this.#membership = this.#store.register(SeedMembership.create({
      self: this.#identity,
      seeds: settings.peers,
      clock: this.#clock,
      identify: async (address) => {
        const answer = await clients.call(address, {
          send: ({ client, signal }) =>
            client.identify.mutate(undefined, { signal }),
        });
        return answer.toMaybe().extract() as Member | undefined;
      },
    }));
    this.#createRouters(store, clients);
    await this.#openFronts(store);
    void this.#followConfiguration(HeadReader.create(store));
  }

  private get settings(): NodeSettings {
    return this.#settings;
  }

  #openObjectStore(): HttpObjectStore {
    return this.#store.register(HttpObjectStore.create({
      address: this.#settings.platform.objectApi,
      clock: this.#clock,
      random: this.#random,
      metrics: this.#metrics,
      log: this.#log,
    }));
  }

  async #openPeers(): Promise<PeerServer> {
    const server = await PeerServer.open({
      address: this.#settings.listen.peers,
      key: this.#settings.peerKey,
      log: this.#log.part("peers"),
      metrics: this.#metrics,
      router: createRequestRouter({
        exchange: () => this.#models.exchange,
        calls: () => this.#calls,
        onDrain: () => void this.drain(),
        identify: () => ({
          identity: this.#identity,
          state: this.#draining === undefined ? "alive" : "leaving",
          revision: this.#configuration.revision,
        }),
      }),
    });
    return this.#store.register(server);
  }

  #createRouters(
    store: HttpObjectStore,
    clients: PeerClients<RequestRouter>,
  ): void {
    const common = {
      configuration: { current: () => this.#configuration },
      clock: this.#clock,
      random: this.#random,
      hasher: this.#hasher,
      metrics: this.#metrics,
    };
    const retries = RetryBudget.create({ metrics: this.#metrics });
    const limiter = {
      admit: () => Right({ release: () => {} }),
      check: () => Right(undefined),
    };
    const peers = { membership: this.#membership, clients };
    this.#models = this.#store.register(RoutedModels.create({
      ...common,
      nodeName: this.#identity.node,
      incarnation: this.#identity.incarnation,
      engines: (endpoint) => this.#engines.find(endpoint),
      loads: this.#loads,
      limiter,
      retries,
      peers: NodeStreamPeers.create(peers),
      log: this.#log.part("models"),
      policy: { kind: this.#settings.policy },
    }));
    const plain = new Map<string, HttpPlainEndpoint>();
    this.#calls = RoutedCalls.create({
      ...common,
      endpoints: (endpoint) => {
        const known = plain.get(endpoint.address) ??
          HttpPlainEndpoint.create({ ...endpoint, clock: this.#clock });
        plain.set(endpoint.address, known);
        return known;
      },
      loads: noLoadReports,
      log: this.#log.part("calls"),
      identity: this.#identity,
      sharedKey: this.#settings.peerKey,
      peers: NodeKeyPeers.create(peers),
      claims: store,
      limiter,
      retryBudget: retries,
    });
  }

  async #openFronts(store: HttpObjectStore): Promise<void> {
    const configuration = { current: (): Configuration => this.#configuration };
    const { limits, listen } = this.#settings;
    const { maxBodyBytes } = limits;
    const readiness = (): Readiness => this.#readReadiness();
    const chat = ChatFront.create({
      configuration,
      router: this.#models,
      clock: this.#clock,
      metrics: this.#metrics,
      maxBodyBytes,
    });
    const plain = PlainFront.create({
      configuration,
      router: this.#calls,
      clock: this.#clock,
      maxBodyBytes,
    });
    const writer = ReleaseWriter.create({
      store,
      clock: this.#clock,
      random: this.#random,
      metrics: this.#metrics,
      log: this.#log,
    });
    this.#operators = this.#store.register(
      await HttpServer.open({
        address: listen.operators,
        limits,
        routes: createOperatorsRoutes({
          operatorKey: this.#settings.operatorKey,
          configuration,
          metrics: this.#metrics,
          readiness,
          readStatus: () => this.#readStatus(),
          listStreams: () => this.#listStreams(),
          apply: (order) => writer.apply(order),
          drain: (node) => this.#drainByName(node),
        }),
      }),
    );
    this.#callers = this.#store.register(
      await HttpServer.open({
        address: listen.callers,
        limits,
        routes: createCallersRoutes({
          teams: TeamDirectory.create(configuration),
          chat,
          plain,
          requests: this.#requests,
          metrics: this.#metrics,
          readiness,
        }),
        onHandlerError: (error) =>
          this.#log.error("a request failed inside the node.", {
            error: String(error),
          }),
      }),
    );
  }

  async #followConfiguration(reader: HeadReader): Promise<void> {
    const { signal } = this.#lifetime;
    while (!signal.aborted) {
      const next = await reader.wait(this.#configuration.revision, watchMs);
      next.ifRight((configuration) => {
        if (configuration !== undefined) {
          this.#applyConfiguration(configuration);
        }
        this.#isReady = true;
      });
      if (next.isLeft()) await this.#clock.sleep(watchPauseMs, signal);
    }
  }

  #applyConfiguration(configuration: Configuration): void {
    if (configuration.revision <= this.#configuration.revision) return;
    this.#configuration = configuration;
    this.#loads.apply(configuration.endpoints);
    this.#engines.apply(configuration.endpoints);
    this.#metrics.setGauge("almondcrank_revision", configuration.revision);
    this.#log.info("configuration in force.", {
      revision: configuration.revision,
    });
  }

  #readReadiness(): Readiness {
    if (this.#draining !== undefined) return { kind: "draining" };
    if (!this.#isReady) {
      return { kind: "starting", reason: "no configuration yet" };
    }
    return { kind: "ready" };
  }

  #readStatus(): NodeStatus {
    const { revision, endpoints } = this.#configuration;
    const { node, zone, incarnation } = this.#identity;
    return {
      node,
      incarnation,
      readiness: this.#readReadiness().kind,
      revision,
      requests: this.#requests.active,
      nodes: [
        { node, zone, state: "self", revision },
        ...this.#membership.list().map(({ identity, state, revision }) => ({
          node: identity.node,
          zone: identity.zone,
          state,
          revision,
        })),
      ],
      endpoints: endpoints.map(({ name, service, zone }) => ({
        endpoint: name,
        service,
        zone,
        state: this.#loads.find(name)?.state.kind ?? "unknown",
        running: undefined,
        queued: undefined,
      })),
    };
  }

  #listStreams(): StreamList {
    return { streams: this.#models.listRunning() };
  }

  async #drainByName(node: string): Promise<Either<string, void>> {
    if (node === this.#identity.node) {
      void this.drain();
      return Right(undefined);
    }
    return await Promise.resolve(
      Left(`no node "${node}" is known; list them with status`),
    );
  }

  async #runDrain(): Promise<void> {
    const { drainMs } = this.#settings;
    this.#log.info("node is draining.");
    this.#calls.drain();
    await this.#models.drain(drainMs);
    await this.#requests.waitIdle(drainMs);
    await this.#calls.close();
    await this.#callers.close();
    this.#log.info("node has drained.");
    this.dispose();
  }
}
