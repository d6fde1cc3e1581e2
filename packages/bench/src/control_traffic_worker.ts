/**
 * Runs a few nodes of the control-traffic measurement in one process.
 *
 * `control_traffic.ts` starts this process, sends it commands and receives its
 * reports over the process's message channel. Nodes communicate over loopback
 * sockets.
 */

import process from "node:process";
import { type Either, Left } from "purify-ts";
import { SystemClock } from "@almondcrank/common/clock.ts";
import {
  type Configuration,
  emptyConfiguration,
  type Endpoint,
} from "@almondcrank/common/configuration.ts";
import { type Hasher, openHasher } from "@almondcrank/common/hashing.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import { ClusterMembership } from "@almondcrank/membership/cluster_membership.ts";
import {
  ConfigurationDistributor,
  type ConfigurationStore,
} from "@almondcrank/membership/configuration_distributor.ts";
import { createIncarnation } from "@almondcrank/membership/incarnation.ts";
import type { EndpointLoad } from "@almondcrank/membership/membership.ts";
import { PeerClients } from "@almondcrank/membership/peer_clients.ts";
import { PeerServer } from "@almondcrank/membership/peer_server.ts";
import {
  createMembershipRouter,
  type MembershipRouter,
  TrpcPeerTransport,
} from "@almondcrank/membership/peer_transport.ts";
import { PlatformError } from "@almondcrank/infrastructure/platform_error.ts";
import type {
  WorkerCommand,
  WorkerLoad,
  WorkerNode,
  WorkerReport,
} from "./control_traffic_messages.ts";

interface RunningNode {
  readonly name: string;
  readonly membership: ClusterMembership;
  readonly distributor: ConfigurationDistributor;
  readonly clients: PeerClients<MembershipRouter>;
  readonly server: PeerServer;
}

/** What the nodes of this process share. */
interface NodeEnvironment {
  readonly hasher: Hasher;
  readonly seeds: readonly string[];
}

const key = "measurement-key-0001";
const teams = ["a", "b", "c", "d", "e"];
const services = 8;
const running: RunningNode[] = [];
const random = Random.create(process.pid);
const clock = SystemClock.create();
let endpointCount = 0;

function send(report: WorkerReport): void {
  if (process.connected) process.send?.(report);
}

async function startNode(
  node: WorkerNode,
  { hasher, seeds }: NodeEnvironment,
): Promise<RunningNode> {
  const metrics = Metrics.create();
  const log = createSilentLog();
  const clients = PeerClients.create<MembershipRouter>({ key, metrics });
  const transport = TrpcPeerTransport.create(clients, (client) => client);
  const shared = { transport, clock, random, log, metrics };
  const { name, zone, region, address: peerAddress } = node;
  const incarnation = createIncarnation(clock, random);
  const membership = ClusterMembership.create({
    ...shared,
    self: { node: name, incarnation, zone, region, peerAddress },
    seeds,
    hasher,
    findService: findService,
  });
  const store = createUnavailableStore();
  const distributor = ConfigurationDistributor.create({
    ...shared,
    membership,
    store,
  });
  const router = createMembershipRouter({
    handleExchange: (request) => membership.handleExchange(request),
    handleAnnouncement: (announcement) =>
      membership.handleAnnouncement(announcement),
    handleConfigurationRequest: (request) =>
      distributor.handleConfigurationRequest(request),
  });
  const address = peerAddress;
  const server = await PeerServer.open({ address, key, router, log, metrics });
  distributor.onChange(({ revision }) => {
    const at = performance.timeOrigin + performance.now();
    send({ kind: "in_force", node: name, revision, at });
  });
  membership.start();
  return { name, membership, distributor, clients, server };
}

function findService(endpoint: string): string {
  return `service-${Number(endpoint.slice(-2)) % services}`;
}

/** Creates a store that is always unavailable. */
function createUnavailableStore(): ConfigurationStore {
  const error = PlatformError.create({
    kind: "unavailable",
    service: "object_api",
    reason: "not part of the measurement",
  });
  const fail = (): Promise<Either<PlatformError, never>> =>
    Promise.resolve(Left(error));
  return { read: fail, wait: fail };
}

function createLoad(node: string, index: number): EndpointLoad {
  return {
    endpoint: `assistant-${node}-${String(index).padStart(2, "0")}`,
    ageMs: random.nextInt(100),
    queued: random.nextInt(12),
    running: random.nextInt(9),
    slots: 8,
    queuedTokens: random.nextInt(30_000),
    prefillTokensPerSecond: 9_000,
    betweenTokensMs: 18 + random.nextInt(14),
    reachable: true,
  };
}

/** Publishes loads and demand every second, as the poller and routing do. */
async function publishLoads(
  { name, membership }: RunningNode,
  { loadsPerNode, changeShare }: WorkerLoad,
): Promise<void> {
  const loads = Array.from(
    { length: loadsPerNode },
    (_, index) => createLoad(name, index),
  );
  for (;;) {
    for (let index = 0; index < loads.length; index++) {
      if (random.next() < changeShare) loads[index] = createLoad(name, index);
    }
    membership.setLoads(loads);
    membership.setDemand(teams.map((team) => ({
      team: `team-${team}`,
      requestsPerSecond: random.nextInt(20),
      tokensPerSecond: random.nextInt(9_000),
    })));
    await clock.sleep(1_000);
  }
}

/** Creates a configuration that differs in two endpoints from its neighbours. */
function createConfiguration(revision: number): Configuration {
  const endpoints = Array.from(
    { length: endpointCount },
    (_, index): Endpoint => ({
      name: `assistant-${index}`,
      service: "assistant",
      address: `10.1.${index >> 8}.${index & 255}:8000`,
      host: `host-${index}`,
      zone: `zone-${index % 16}`,
      machineClass: "gpu-4",
      market: "reclaimable",
      checksFencing: index !== revision,
    }),
  );
  return { ...emptyConfiguration, revision, endpoints };
}

function createReport(): WorkerReport {
  const { user, system } = process.cpuUsage();
  globalThis.gc?.();
  const { heapUsed, external, rss } = process.memoryUsage();
  const nodes = running.map(({ name, membership, clients, server }) => {
    const asked = clients.bytes.read();
    const served = server.bytes.read();
    return {
      node: name,
      bytes: {
        sent: asked.sent + served.sent,
        received: asked.received + served.received,
      },
      sockets: clients.bytes.openSockets + server.bytes.openSockets,
      alive: membership.listAlive().length,
    };
  });
  return {
    kind: "report",
    nodes,
    cpuMicros: user + system,
    heapBytes: heapUsed + external,
    residentBytes: rss,
  };
}

async function handleCommand(command: WorkerCommand): Promise<void> {
  switch (command.kind) {
    case "start": {
      endpointCount = command.load.endpoints;
      const hasher = await openHasher();
      for (const node of command.nodes) {
        const started = await startNode(node, { hasher, seeds: command.seeds });
        running.push(started);
        void publishLoads(started, command.load);
      }
      return send({ kind: "started" });
    }
    case "apply":
      return await running[0]?.distributor
        .accept(createConfiguration(command.revision));
    case "report":
      return send(createReport());
  }
}

process.on(
  "message",
  (command) => void handleCommand(command as WorkerCommand),
);
process.on("disconnect", () => process.exit(0));
