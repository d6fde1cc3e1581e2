/**
 * One gateway process: connects its parts, starts them and drains them.
 */

import { openWhenFree } from "@almondcrank/common/address_wait.ts";
import { type Clock } from "@almondcrank/common/clock.ts";
import { DisposableStore } from "@almondcrank/common/disposables.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import type { ServerConnections } from "@almondcrank/common/server_connections.ts";
import { PlatformCloud } from "@almondcrank/platform/platform_cloud.ts";
import {
  configurationKind,
  replicasKind,
} from "@almondcrank/platform/platform_store.ts";
import { createRolloutOrders } from "@almondcrank/platform/rollout_orders.ts";
import { LimitShares } from "@almondcrank/routing/limits/limit_shares.ts";
import { QuarantineArchive } from "@almondcrank/routing/quarantine/quarantine_archive.ts";
import type { GatewayStatus } from "@almondcrank/model/gateway_status.ts";
import { Cluster } from "./cluster/cluster.ts";
import { NodeDiscovery } from "./cluster/node_discovery.ts";
import { PeerSocket } from "./cluster/peer_socket.ts";
import { PeerExchange } from "./cluster/peer_exchange.ts";
import { ReportNews } from "./cluster/report_news.ts";
import { ReportTallies } from "./cluster/report_tallies.ts";
import type { ReportTopology } from "./cluster/report_topology.ts";
import { DutyLease } from "./duties/duty_lease.ts";
import { Autoscaler } from "./duties/autoscaler.ts";
import { UsageReporter } from "./duties/usage_reporter.ts";
import { startMaintenance } from "./gateway_maintenance.ts";
import { FeedReader } from "./feed/feed_reader.ts";
import { StoreView } from "./feed/store_view.ts";
import { RolloutDuty } from "./rollouts/rollout_duty.ts";
import { composeGatewayStatus } from "./gateway_status.ts";
import type { LiveSettings } from "./live_settings.ts";
import { MetricsServer } from "./metrics_server.ts";
import { ReadinessServer } from "./readiness_server.ts";
import { CallerServer } from "./relay/caller_server.ts";
import { StreamMover } from "./relay/stream_mover.ts";
import {
  createClientOptions,
  createParts,
  findControlPort,
  type GatewayOptions,
  type GatewayParts,
} from "./gateway_parts.ts";

/** Time that a confirmation of a feed takes over relays. */
const relayedStatusDelayMs = 900;
/** Time from the start of a drain until connections are no longer accepted. */
const acceptDuringDrainMs = 2_600;
/** Time before the end of the grace period at which draining stops. */
const graceMarginMs = 350;
const drainPollMs = 25;
/** Time for the last answers to leave. */
const lastAnswersMs = 50;

/** A running gateway. */
export class Gateway {
  readonly #settings: LiveSettings;
  readonly #log: Log;
  readonly #clock: Clock;
  readonly #lifetime = DisposableStore.create();
  readonly #server: CallerServer;
  readonly #connections: ServerConnections;
  readonly #view: StoreView;
  readonly #metrics = Metrics.create();
  #isDraining = false;
  readonly #readers: FeedReader[] = [];
  #lease: DutyLease | undefined;

  private constructor(options: GatewayOptions, parts: GatewayParts) {
    this.#settings = options.settings;
    this.#log = options.log;
    this.#clock = parts.clock;
    this.#server = parts.server;
    this.#connections = parts.connections;
    this.#view = parts.view;
    this.#metrics = parts.services.metrics;
  }

  /**
   * Creates and starts all parts; waits for addresses that are still held, and
   * rejects when one cannot be bound, except that of the metrics.
   */
  static async open(options: GatewayOptions): Promise<Gateway> {
    const parts = await createParts(options);
    const gateway = new Gateway(options, parts);
    await gateway.#start(parts);
    if (options.metricsPort !== undefined) {
      await gateway.#openMetrics(options.metricsPort);
    }
    return gateway;
  }

  /**
   * Drains the gateway: reports not ready, accepts connections until the load
   * balancer has noticed, and waits for running requests within the grace period.
   */
  async drain(): Promise<void> {
    const deadline = this.#clock.now() + this.#settings.current.bounds.graceMs -
      graceMarginMs;
    this.#isDraining = true;
    this.#log.info("draining.", { running: this.#server.running });
    this.#server.drain(deadline);
    void this.#lease?.release();
    await this.#clock.sleep(acceptDuringDrainMs);
    await this.#server.close();
    while (this.#server.isBusy && this.#clock.now() < deadline) {
      await this.#clock.sleep(drainPollMs);
      await this.#server.close();
    }
    this.#log.info("drained.", { cut: this.#server.running });
    this.#server.failRunning();
    await this.#clock.sleep(lastAnswersMs);
    this.#lifetime.dispose();
  }

  /** Stops at once and aborts running requests. */
  dispose(): void {
    this.#lifetime.dispose();
  }

  async #start(parts: GatewayParts): Promise<void> {
    const { settings, view, server, services } = parts;
    const { clock, table } = services;
    this.#lifetime.register(server);
    this.#lifetime.register(services.sender);
    this.#lifetime.register(services.handOver);
    this.#lifetime.register(StreamMover.create(services, parts.registry));
    view.onConfigured(({ configuration }) => {
      server.applyLimits(configuration);
      parts.rateLimiter.prepare(configuration.tenants ?? [], clock.now());
    });
    const { members, usage, store, feeds, suspensionClock } = parts;
    const socket = await this.#openWhenFree("peers", () =>
      PeerSocket.open({
        ip: settings.ip,
        port: settings.peerPort,
        log: services.log.createChild("cluster"),
        metrics: services.metrics,
      }));
    this.#lifetime.register(socket);
    const { origins } = parts;
    this.#lifetime.register(
      origins.onSend(({ bytes, ip }) => socket.sendBytes(bytes, ip)),
    );
    this.#lifetime.register(socket.onOrigins((told) => origins.apply(told)));
    const clusterRef: { cluster?: Cluster } = {};
    const exchange = PeerExchange.create({
      node: settings.nodeName,
      incarnation: parts.incarnation,
      ip: settings.ip,
      zone: settings.zone,
      clock: suspensionClock,
      limitsClock: clock,
      members,
      feeds,
      rateLimiter: parts.rateLimiter,
      budget: services.budget,
      table,
      usage,
      isDraining: () => this.#isDraining,
      isStoreUnreachable: () =>
        this.#readers.some((reader) => reader.isFailing),
      work: services.work,
      quarantine: services.quarantine,
      limitShares: LimitShares.create(settings.nodeName, services.hasher),
      tallies: ReportTallies.create(parts.tallySources, services.metrics),
      news: ReportNews.create(parts.newsSources, services.metrics),
      readFencingToken: () => this.#lease?.fencingToken,
      pullFeed: (kind, ip) => void clusterRef.cluster?.pullFeed(kind, ip),
    });
    const cluster = Cluster.create({
      clock: suspensionClock,
      log: services.log.createChild("cluster"),
      socket,
      members,
      exchange,
      feeds,
      isLeading: () =>
        this.#lease?.fencingToken !== undefined ||
        this.#readers.some((reader) => reader.isActiveReader),
      linkBytesPerMs: settings.linkBytesPerMs,
      connections: parts.connections,
      controlPort: findControlPort(settings),
      answerOrigin: (id) => parts.origins.composeAnswer(id),
      answerUnknownOrigin: () => parts.versions.composeHistory(),
      handleHanded: (request, response) =>
        server.handleHanded(request, response),
      pages: {
        "/metrics": () => services.metrics.format(),
        "/status": () => JSON.stringify(this.#composeStatus(parts)),
      },
    });
    clusterRef.cluster = cluster;
    this.#lifetime.register(cluster);
    await this.#openWhenFree("control", () => cluster.open(settings.control));
    this.#startReaders(parts, () => exchange.topology);
    this.#lifetime.register(
      NodeDiscovery.create({
        settings,
        store,
        clock,
        members,
        log: services.log.createChild("cluster"),
      }),
    );
    this.#startDuties(parts);
    for (const archive of [parts.versions, parts.originArchive]) {
      this.#lifetime.register(archive);
      archive.start();
    }
    this.#lifetime.register(QuarantineArchive.create({
      store,
      quarantine: services.quarantine,
      clock,
      readWallTime: () =>
        members.computeWallTime(suspensionClock.now(), clock.wallTime()),
      isOwner: (part) => parts.isProber(part),
      hasher: services.hasher,
      log: services.log.createChild("relay"),
    }));
    this.#lifetime.register(startMaintenance(parts));
    await this.#openServers(parts);
  }

  #startReaders(
    { settings, feeds, store, suspensionClock, services, members }:
      GatewayParts,
    readTopology: () => ReportTopology,
  ) {
    const prefixes = {
      configuration: configurationKind,
      replicas: replicasKind,
    } as const;
    for (const kind of ["configuration", "replicas"] as const) {
      const reader = FeedReader.create({
        kind,
        prefix: prefixes[kind],
        state: feeds[kind],
        store,
        clock: suspensionClock,
        random: services.random,
        log: services.log.createChild("feed"),
        isFirstToRead: settings.seedIps.includes(settings.ip),
        readRank: (isFailing) =>
          members.readRank(suspensionClock.now(), isFailing),
        readStatusDelayMs: () =>
          readTopology().kind === "mesh" ? 0 : relayedStatusDelayMs,
      });
      this.#readers.push(this.#lifetime.register(reader));
    }
  }

  #startDuties(parts: GatewayParts): void {
    const { settings, services, members, store, suspensionClock: clock } =
      parts;
    const { rollouts } = parts;
    if (settings.cloudAddress === undefined && rollouts === undefined) return;
    const log = services.log.createChild("duties");
    const lease = DutyLease.create({
      store,
      clock,
      log,
      members,
      node: settings.nodeName,
      incarnation: parts.incarnation,
      leaseMs: settings.bounds.leaseMs,
      isFirstStart: settings.isFirstStart,
      mayHold: () => !this.#isDraining && this.#view.hasSyncedReplicas,
      readRestoredAt: () => parts.feeds.replicas.restoredAt,
    });
    this.#lease = lease;
    this.#lifetime.register(lease);
    if (rollouts !== undefined && settings.exposure !== undefined) {
      this.#lifetime.register(RolloutDuty.create({
        ...rollouts,
        orders: createRolloutOrders(store),
        lease,
        table: services.table,
        limit: settings.exposure,
        clock,
        log: services.log.createChild("rollouts"),
        metrics: services.metrics,
        readRoutes: () => this.#view.routes,
      }));
    }
    if (settings.cloudAddress === undefined) return;
    const cloud = PlatformCloud.create(
      createClientOptions(settings.cloudAddress, services),
    );
    const shared = { cloud, lease, clock, log };
    if (settings.duties.includes("usage")) {
      const { bounds } = settings;
      const counts = parts.usage;
      this.#lifetime.register(
        UsageReporter.create({
          ...shared,
          store,
          counts,
          members,
          bounds,
          readRestoredAt: () => parts.feeds.replicas.restoredAt,
        }),
      );
    }
    if (settings.duties.includes("scaling")) {
      this.#lifetime.register(Autoscaler.create({
        ...shared,
        table: services.table,
        work: services.work,
        metrics: services.metrics,
        zones: settings.zones,
        readRoutes: () => this.#view.routes,
        isRollingOut: (service) => services.gate.isRollingOut(service),
      }));
    }
  }

  async #openServers(
    { settings, server, connections }: GatewayParts,
  ): Promise<void> {
    if (settings.readiness !== undefined) {
      const readiness = ReadinessServer.create({
        log: this.#log,
        connections,
        isReady: () => this.#isReady(),
      });
      this.#lifetime.register(readiness);
      const address = settings.readiness;
      await this.#openWhenFree("readiness", () => readiness.open(address));
    }
    const address = settings.callers;
    if (address === undefined) return;
    await this.#openWhenFree("callers", () => server.open(address));
  }

  #openWhenFree<T>(listener: string, open: () => Promise<T>): Promise<T> {
    const clock = this.#clock;
    return openWhenFree(open, { clock, log: this.#log, listener });
  }

  async #openMetrics(port: number): Promise<void> {
    const server = MetricsServer.create({
      log: this.#log,
      connections: this.#connections,
      format: () => this.#metrics.format(),
    });
    this.#lifetime.register(server);
    await server.open(this.#settings.current.ip, port);
  }

  #composeStatus(parts: GatewayParts): GatewayStatus {
    return composeGatewayStatus(parts, {
      isReady: this.#isReady(),
      isDraining: this.#isDraining,
      isDutyHolder: this.#lease?.fencingToken !== undefined,
    });
  }

  #isReady(): boolean {
    return !this.#isDraining && this.#view.routes !== undefined &&
      this.#view.hasSyncedReplicas && this.#view.hasFreshConfiguration;
  }
}
