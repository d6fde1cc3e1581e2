/**
 * Creates the parts of a gateway process and connects them.
 */

import { parseAddress } from "@almondcrank/common/address.ts";
import { BodyBudget } from "@almondcrank/common/body_budget.ts";
import { type Clock, SystemClock } from "@almondcrank/common/clock.ts";
import { openHasher } from "@almondcrank/common/hashing.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import { ServerConnections } from "@almondcrank/common/server_connections.ts";
import type { PlatformClientOptions } from "@almondcrank/infrastructure/platform_client.ts";
import type {
  Bounds,
  GatewaySettings,
} from "@almondcrank/model/gateway_settings.ts";
import { isNewerConfiguration } from "@almondcrank/platform/decode_configuration.ts";
import { PlatformStore } from "@almondcrank/platform/platform_store.ts";
import { CandidateOrder } from "./choice/candidate_order.ts";
import { PrefixIndex } from "./choice/prefix_index.ts";
import { GoneReplicas } from "./choice/gone_replicas.ts";
import { ReplicaTable } from "./choice/replica_table.ts";
import { StreamOrigins } from "./choice/stream_origins.ts";
import { MemberTable } from "./cluster/member_table.ts";
import { CutNodes } from "@almondcrank/routing/reach/cut_nodes.ts";
import { ServiceReach } from "@almondcrank/routing/reach/service_reach.ts";
import { createReachNews } from "./cluster/reach_news.ts";
import { HandOver } from "./relay/hand_over.ts";
import { LifeChecks } from "./relay/life_checks.ts";
import { askLife } from "./relay/life_question.ts";
import { OriginArchive } from "./cluster/origin_archive.ts";
import { OriginExchange } from "./cluster/origin_exchange.ts";
import { isProbeOwner } from "./cluster/probe_owner.ts";
import type { NewsSource } from "./cluster/report_news.ts";
import type { TallySource } from "./cluster/report_tallies.ts";
import { VersionArchive } from "./cluster/version_archive.ts";
import { WorkMeter } from "./duties/work_meter.ts";
import { UsageCounts } from "./duties/usage_counts.ts";
import { isCopyCurrent } from "./feed/copy_currency.ts";
import { type FeedKind, FeedState } from "./feed/feed_state.ts";
import { StoreView } from "./feed/store_view.ts";
import { TenantRateLimiter } from "./limits/tenant_rate_limiter.ts";
import { PartQuarantine } from "@almondcrank/routing/quarantine/part_quarantine.ts";
import { isFingerprint } from "@almondcrank/routing/quarantine/request_fingerprint.ts";
import { CostModel } from "@almondcrank/routing/placement/cost_model.ts";
import { RetryBudget } from "@almondcrank/routing/repeats/retry_budget.ts";
import {
  createRolloutParts,
  type RolloutParts,
} from "./rollouts/rollout_parts.ts";
import { createOpenGate } from "./rollouts/version_gate.ts";
import type { LiveSettings } from "./live_settings.ts";
import type { RouteTable } from "./routes/route_table.ts";
import { CallerServer } from "./relay/caller_server.ts";
import type { RelayServices } from "./relay/relay_services.ts";
import { RequestBodies } from "./relay/request_bodies.ts";
import type { OpenConnection } from "./relay/replica_agent.ts";
import { ReplicaSender } from "./relay/replica_sender.ts";
import { StreamLines } from "./relay/stream_lines.ts";
import { StreamRegistry } from "./relay/stream_registry.ts";
import { SuspensionClock } from "./suspension_clock.ts";

/** Share of the retry budget that is used; the rest covers late reports. */
const usedRetryShare = 0.7;
/** Share of each tenant's burst that a node holds if it did not start first. */
const restartedLevelShare = 0.1;
const bytesPerMb = 1_000_000;
const storeDeadlineMs = 900;
const maxStoreBackoffMs = 500;

/** Settings, log and metrics port of a gateway. */
export interface GatewayOptions {
  readonly settings: LiveSettings;
  readonly log: Log;
  /** Port of the metrics server; without it none is started. */
  readonly metricsPort?: number;
  /** Opens connections to replicas; without one, Node.js does. */
  readonly openConnection?: OpenConnection | undefined;
}

/** Parts of one process. */
export interface GatewayParts {
  readonly settings: GatewaySettings;
  /** Unique id of this start of the process. */
  readonly incarnation: string;
  readonly clock: Clock;
  /** Clock that includes time in which the host was suspended. */
  readonly suspensionClock: Clock;
  readonly services: RelayServices;
  readonly registry: StreamRegistry;
  readonly rateLimiter: TenantRateLimiter;
  readonly members: MemberTable;
  readonly origins: OriginExchange;
  readonly originArchive: OriginArchive;
  readonly versions: VersionArchive;
  readonly usage: UsageCounts;
  readonly store: PlatformStore;
  readonly feeds: Readonly<Record<FeedKind, FeedState>>;
  readonly view: StoreView;
  readonly bodies: RequestBodies;
  /** Connections of all servers of the node. */
  readonly connections: ServerConnections;
  readonly server: CallerServer;
  /** What this node tells its peers beside the fixed parts of a report. */
  readonly tallySources: readonly TallySource[];
  readonly newsSources: readonly NewsSource[];
  /** Undefined where operators order no rollouts. */
  readonly rollouts: RolloutParts | undefined;
  /** Whether this node sends the probes of a part in quarantine. */
  readonly isProber: (part: string) => boolean;
}

/** Creates all parts, without starting them or any outside effect. */
export async function createParts(
  { settings: live, log, openConnection }: GatewayOptions,
): Promise<GatewayParts> {
  const settings = live.current;
  const clock = SystemClock.create();
  const suspensionClock = SuspensionClock.create(clock);
  const random = Random.create();
  const metrics = Metrics.create();
  const hasher = await openHasher();
  const members = MemberTable.create(
    settings.nodeName,
    () => suspensionClock.addedMs,
  );
  for (const ip of settings.seedIps) {
    if (ip !== settings.ip) members.addAddress(ip, suspensionClock.now());
  }
  const usage = UsageCounts.create({
    windowMs: settings.bounds.usageWindowMs,
    readWallTime: () =>
      members.computeWallTime(suspensionClock.now(), clock.wallTime()),
  });
  const feeds = {
    configuration: FeedState.create(hasher, {
      isNewer: isNewerConfiguration,
    }),
    replicas: FeedState.create(hasher),
  };
  const table = ReplicaTable.create({
    drainMs: settings.bounds.drainMs,
    readProvenAt: () => clock.now() - view.replicasAgeMs,
  });
  const view = StoreView.create({
    clock,
    suspensionClock,
    log: log.createChild("feed"),
    readBounds: () => live.current.bounds,
    feeds,
    table,
  });
  const { bounds } = settings;
  const store = PlatformStore.create(
    createClientOptions(settings.storeAddress, { clock, random, metrics, log }),
  );
  const incarnation = `${Date.now()}-${random.nextInt(1_000_000)}`;
  // A client of its own: what the store refuses it must not pause the feeds.
  const archiveStore = PlatformStore.create(
    createClientOptions(settings.storeAddress, { clock, random, metrics, log }),
  );
  const archiveOptions = {
    store: archiveStore,
    readEra: () => Math.max(store.era, archiveStore.era),
    clock: suspensionClock,
    readWallTime: () =>
      members.computeWallTime(suspensionClock.now(), clock.wallTime()),
    readHorizonMs: () => computeOriginHorizonMs(view.routes, bounds),
    log: log.createChild("cluster"),
  };
  const versions = VersionArchive.create({
    ...archiveOptions,
    table,
    isSynced: () => view.hasSyncedReplicas,
    isCopyCurrent: () => {
      const now = suspensionClock.now();
      return isCopyCurrent({
        ageMs: now - feeds.replicas.confirmedAt,
        known: members.listKnown(now).length,
        heard: members.listAlive(now).length,
      });
    },
    readRank: () => members.readRank(suspensionClock.now(), false),
    isFirstStart: settings.isFirstStart,
  });
  const originArchive = OriginArchive.create({
    ...archiveOptions,
    node: settings.nodeName,
    incarnation,
    countNodes: () => members.listKnown(suspensionClock.now()).length + 1,
    metrics,
  });
  const origins = OriginExchange.create({
    clock,
    membersClock: suspensionClock,
    hasher,
    origins: StreamOrigins.create(),
    members,
    versions,
    archive: originArchive,
    controlPort: findControlPort(settings),
  });
  const owner = {
    node: settings.nodeName,
    hasher,
    members,
    clock: suspensionClock,
  };
  const isProber = (part: string): boolean => isProbeOwner(part, owner);
  const quarantine = PartQuarantine.create({ isProber });
  logQuarantine(quarantine, log);
  const rollouts = settings.exposure === undefined
    ? undefined
    : createRolloutParts({
      clock: suspensionClock,
      metrics,
      log: log.createChild("rollouts"),
    });
  const gate = rollouts?.gate ?? createOpenGate();
  const reach = ServiceReach.create((name) => table.listUsable(name).length);
  const cutNodes = CutNodes.create();
  const sender = ReplicaSender.create({
    gate,
    clock,
    metrics,
    log: log.createChild("relay"),
    table,
    countNodes: () => members.listKnown(suspensionClock.now()).length + 1,
    reach,
    openConnection,
  });
  reach.onCut((service) => {
    metrics.count("service_cuts_total", { service });
    log.createChild("relay").warn(
      "no replica of a service can be reached, its requests go to peers.",
      { service },
    );
    sender.closeIdle(service);
  });
  const memoryBytes = settings.memoryMb * bytesPerMb;
  const answers = BodyBudget.createFor(memoryBytes, clock);
  const services: RelayServices = {
    clock,
    log,
    metrics,
    random,
    hasher,
    zone: settings.zone,
    isSoleNode: settings.seedIps.every((ip) => ip === settings.ip),
    table,
    prefixes: PrefixIndex.create(),
    gate,
    order: CandidateOrder.create(hasher),
    costs: CostModel.create(),
    sender,
    lifeChecks: LifeChecks.create({
      clock,
      ask: (question) => askLife({ sender, clock }, question),
    }),
    reach,
    handOver: HandOver.create({
      clock,
      membersClock: suspensionClock,
      metrics,
      random,
      zone: settings.zone,
      members,
      reach,
      cutNodes,
      answers,
      controlPort: findControlPort(settings),
    }),
    budget: RetryBudget.create({
      ratio: bounds.retryRatio,
      extra: bounds.retryExtra,
      windowMs: bounds.retryWindowMs,
      usedShare: usedRetryShare,
    }),
    quarantine,
    origins,
    versions,
    runs: usage,
    answers,
    work: WorkMeter.create(),
    lines: StreamLines.create({ clock, metrics }),
  };
  const registry = StreamRegistry.create();
  const rateLimiter = TenantRateLimiter.create(bounds.quotaTolerance, {
    overage: bounds.quotaOverage,
    windowMs: bounds.quotaWindowMs,
    startShare: settings.isFirstStart ? 1 : restartedLevelShare,
  });
  const bodies = RequestBodies.create({ clock, memoryBytes, answers });
  const connections = ServerConnections.create({
    ...settings.connections,
    clock,
    memoryBytes,
  });
  const server = CallerServer.create({
    services,
    registry,
    connections,
    maxConnections: computeMaxConnections(settings),
    bodies,
    rateLimiter,
    readContext: () => ({
      routes: view.routes,
      hasFreshConfiguration: view.hasFreshConfiguration,
      configurationAgeMs: view.configurationAgeMs,
      draw: random.next(),
    }),
    isSynced: () => view.isSynced,
    waitUntilSynced: (signal) => view.waitUntilSynced(signal),
  });
  return {
    settings,
    incarnation,
    clock,
    suspensionClock,
    services,
    registry,
    rateLimiter,
    members,
    origins,
    originArchive,
    versions,
    usage,
    store,
    feeds,
    view,
    bodies,
    connections,
    server,
    tallySources: [
      services.costs.firstEvents,
      ...(rollouts === undefined ? [] : [rollouts.counts]),
    ],
    newsSources: [
      GoneReplicas.create(table),
      createReachNews({ node: settings.nodeName, reach, cutNodes }),
      ...(rollouts === undefined ? [] : [rollouts.news]),
    ],
    rollouts,
    isProber,
  };
}

/** Descriptors that a node needs beside those of its connections. */
const ownDescriptors = 200;
/** Share of the descriptors that callers may have; others need the rest. */
const callersDescriptorShare = 0.7;
/** Share of the memory that the connections of callers may take. */
const connectionsMemoryShare = 0.2;
/** Memory of a connection whose head has arrived in part. */
const connectionBytes = 32_768;

/** Computes how many connections of callers may be open. */
export function computeMaxConnections(
  { connections, maxDescriptors, memoryMb }: Pick<
    GatewaySettings,
    "connections" | "maxDescriptors" | "memoryMb"
  >,
): number {
  const byMemory = memoryMb * bytesPerMb * connectionsMemoryShare /
    connectionBytes;
  const byDescriptors = (maxDescriptors - ownDescriptors) *
    callersDescriptorShare;
  const most = Math.floor(Math.min(byMemory, byDescriptors));
  return connections.max ?? Math.max(1, most);
}

/** Shortest time for which streams may be taken up again. */
const minOriginHorizonMs = 60_000;
/** Time in which callers come back, with an outage of all nodes. */
const comeBackMs = 30_000;

/**
 * Computes the time for which streams may be taken up again: the longest one has
 * its time limit, its replica the time to leave, its caller time to come back.
 */
export function computeOriginHorizonMs(
  routes: RouteTable | undefined,
  { drainMs }: Pick<Bounds, "drainMs">,
): number {
  const timeoutsMs = (routes?.configuration.routes ?? [])
    .filter(({ kind, isResumable }) => kind === "stream" && isResumable)
    .map(({ timeoutMs }) => timeoutMs);
  const longestMs = Math.max(0, ...timeoutsMs) + drainMs + comeBackMs;
  return Math.max(minOriginHorizonMs, longestMs);
}

/** Logs which requests and parts of prompts enter and leave the quarantine. */
function logQuarantine(quarantine: PartQuarantine, parent: Log): void {
  const log = parent.createChild("relay");
  quarantine.onChanged(({ kind, part, crashes }) => {
    const subject = isFingerprint(part) ? "request" : "prompt part";
    const fields = { promptPart: part, crashes };
    if (kind === "left") log.info(`a ${subject} left quarantine.`, fields);
    else log.warn(`a ${subject} is in quarantine.`, fields);
  });
}

/** Port of the control listeners of all nodes; 0 if there are none. */
export function findControlPort({ control }: GatewaySettings): number {
  return parseAddress(control ?? "")?.port ?? 0;
}

/** Creates the options of a platform client, with deadline and backoff. */
export function createClientOptions(
  address: string,
  shared: Pick<PlatformClientOptions, "clock" | "random" | "metrics" | "log">,
): PlatformClientOptions {
  return {
    ...shared,
    address,
    deadlineMs: storeDeadlineMs,
    longestPauseMs: maxStoreBackoffMs,
  };
}
