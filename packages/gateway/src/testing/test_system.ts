/**
 * Nodes that exchange real datagrams on a clock driven by hand. Datagrams take a
 * few milliseconds, may be lost, and are when a node's link is full.
 */

import { Emitter } from "@almondcrank/common/emitter.ts";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Random } from "@almondcrank/common/random.ts";
import type { Tenant } from "@almondcrank/model/configuration.ts";
import { createReplica } from "./create_replica.ts";
import { GoneReplicas } from "../choice/gone_replicas.ts";
import { ReplicaTable } from "../choice/replica_table.ts";
import { UsageCounts } from "../duties/usage_counts.ts";
import { WorkMeter } from "../duties/work_meter.ts";
import { type FeedKind, FeedState } from "../feed/feed_state.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { ServerConnections } from "@almondcrank/common/server_connections.ts";
import { LimitShares } from "@almondcrank/routing/limits/limit_shares.ts";
import {
  type AllowanceTerms,
  plainTerms,
} from "@almondcrank/routing/limits/allowance_margins.ts";
import { PartQuarantine } from "@almondcrank/routing/quarantine/part_quarantine.ts";
import { RetryBudget } from "@almondcrank/routing/repeats/retry_budget.ts";
import { TenantRateLimiter } from "../limits/tenant_rate_limiter.ts";
import { Cluster } from "../cluster/cluster.ts";
import { MemberTable } from "../cluster/member_table.ts";
import { PeerExchange } from "../cluster/peer_exchange.ts";
import {
  decodePeerMessage,
  encodePeerMessage,
  type PeerMessage,
} from "../cluster/peer_messages.ts";
import { ReportNews } from "../cluster/report_news.ts";
import { ReportTallies, type TallySource } from "../cluster/report_tallies.ts";

const hasher = await openHasher();
export const tenant: Tenant = {
  name: "t",
  keys: [],
  unit: "tokens",
  defaultTokens: 1,
  ratePerSecond: 1,
  burst: 1_000_000,
};
const replica = createReplica({ id: "r" });
export const replicaKey = "r/1";
export const delayMs = 5;
export const windowMs = 5_000;
const restartedLevelShare = 0.1;
/** Nodes whose addresses are in the store. */
const storedNodes = 24;

/** Counts events of one name, its own and those of peers. */
export class TestTally implements TallySource {
  readonly name = "seen";
  own = 0;
  others = 0;

  listOwn(): readonly (readonly [string, number])[] {
    return [["event", this.own]];
  }

  applyPeer(_name: string, change: number): void {
    this.others += change;
  }
}

/** One node with all parts that reports concern. */
export class TestNode {
  readonly node: string;
  readonly ip: string;
  readonly zone: string;
  members: MemberTable;
  limiter: TenantRateLimiter;
  readonly table = ReplicaTable.create({ drainMs: 1_000 });
  readonly usage: UsageCounts;
  quarantine = createQuarantine();
  readonly received = Emitter.create<PeerMessage>();
  readonly budget = RetryBudget.create({
    ratio: 0.2,
    extra: 100,
    windowMs: 60_000,
    usedShare: 0.7,
  });
  readonly tally = new TestTally();
  /** What this node has to tell as news, and what it was told. */
  newsOut: unknown;
  newsIn: unknown;
  feeds = createFeeds();
  cluster: Cluster | undefined;
  /** Whether it reads the store for the others. */
  isReading: () => boolean = () => false;
  bytesSent = 0;
  fencingToken: number | undefined;
  isDraining = false;
  /** Time at which its link has sent all that waits for it. */
  linkFreeAt = 0;

  constructor(system: TestSystem, index: number, zones: number) {
    this.zone = `z${index % zones}`;
    this.node = `node-${this.zone}-${String(index).padStart(3, "0")}`;
    this.ip = `10.0.0.${index}`;
    const { tolerance, terms } = system.limits;
    this.limiter = TenantRateLimiter.create(tolerance, terms);
    this.members = MemberTable.create(this.node);
    this.usage = UsageCounts.create({
      windowMs,
      readWallTime: () => system.clock.wallTime(),
    });
  }

  /** Cost that other nodes have admitted, as far as this node knows. */
  readKnownCost(now: number): number {
    const [, level = 0] = this.limiter.listLevels(now)[0] ?? [];
    return tenant.burst - level;
  }
}

/** Link of each node; what does not fit into its queue is lost. */
export interface TestLink {
  readonly bytesPerMs: number;
  readonly queueBytes: number;
}

/** Contract of the tenants' limits. */
export interface TestLimits {
  readonly tolerance: number;
  readonly terms?: AllowanceTerms;
}

/** Nodes that exchange datagrams. */
export class TestSystem {
  readonly clock = ManualClock.create();
  readonly random = Random.create(5);
  readonly nodes: TestNode[] = [];
  readonly #nodesByIp = new Map<string, TestNode>();
  readonly limits: TestLimits;
  loss = 0;
  link: TestLink | undefined;
  /** Whether datagrams between two addresses are lost. */
  isCut: (from: string, to: string) => boolean = () => false;
  /** Called when a node wants to pull the copy of a peer. */
  onPull: (node: TestNode, kind: FeedKind, ip: string) => void = () => {};

  private constructor(limits: TestLimits) {
    this.limits = limits;
  }

  static async open(
    count: number,
    zones: number,
    limits: TestLimits = { tolerance: 0 },
  ): Promise<TestSystem> {
    const system = new TestSystem(limits);
    for (let index = 0; index < count; index += 1) {
      const node = new TestNode(system, index, zones);
      system.nodes.push(node);
      system.#nodesByIp.set(node.ip, node);
    }
    for (const node of system.nodes) await system.start(node, "1");
    await system.clock.advance(4_000);
    return system;
  }

  /** The same of nodes that know each other, without the greetings of a start. */
  static async openKnown(
    count: number,
    zones: number,
    link: TestLink,
  ): Promise<TestSystem> {
    const system = new TestSystem({ tolerance: 0 });
    system.link = link;
    for (let index = 0; index < count; index += 1) {
      const node = new TestNode(system, index, zones);
      system.nodes.push(node);
      system.#nodesByIp.set(node.ip, node);
    }
    for (const { members } of system.nodes) {
      for (const other of system.nodes) members.introduce(other, 0);
    }
    for (const node of system.nodes) await system.start(node, "1");
    await system.clock.advance(2_000);
    return system;
  }

  async start(node: TestNode, incarnation: string): Promise<void> {
    const { clock } = this;
    for (const seed of this.nodes.slice(0, 3)) {
      if (seed !== node) node.members.addAddress(seed.ip, clock.now());
    }
    node.limiter.prepare([tenant], clock.now());
    node.table.apply([replica], { now: clock.now(), mayHaveExpired: false });
    const feeds = node.feeds = createFeeds();
    const exchange = PeerExchange.create({
      node: node.node,
      incarnation,
      ip: node.ip,
      zone: node.zone,
      clock,
      limitsClock: clock,
      members: node.members,
      feeds,
      rateLimiter: node.limiter,
      budget: node.budget,
      table: node.table,
      usage: node.usage,
      work: WorkMeter.create(),
      quarantine: node.quarantine,
      limitShares: LimitShares.create(node.node, hasher),
      tallies: ReportTallies.create([node.tally], Metrics.create()),
      news: ReportNews.create([GoneReplicas.create(node.table), {
        name: "test",
        maxBytes: 100,
        compose: () => node.newsOut,
        apply: (told) => node.newsIn = told,
      }], Metrics.create()),
      isDraining: () => node.isDraining,
      isStoreUnreachable: () => false,
      readFencingToken: () => node.fencingToken,
      pullFeed: (kind, ip) => this.onPull(node, kind, ip),
    });
    node.cluster = Cluster.create({
      clock,
      log: createSilentLog(),
      socket: {
        onReceived: node.received.event,
        send: (header, report, ip) => {
          const bytes = encodePeerMessage(header, report);
          node.bytesSent += bytes.length;
          if (this.random.next() < this.loss) return;
          if (this.isCut(node.ip, ip)) return;
          const waitMs = this.#waitForLink(node, bytes.length);
          if (waitMs !== undefined) void this.#deliver(bytes, ip, waitMs);
        },
      },
      members: node.members,
      exchange,
      feeds,
      isLeading: () => node.fencingToken !== undefined || node.isReading(),
      linkBytesPerMs: this.link?.bytesPerMs,
      connections: ServerConnections.create({
        clock,
        memoryBytes: 200_000_000,
      }),
      controlPort: 0,
      answerOrigin: () => undefined,
      answerUnknownOrigin: () => "",
      handleHanded: () => {},
      pages: {},
    });
    await node.cluster.open(undefined);
  }

  /** Starts a node anew, which has forgotten the others and what was used. */
  async restart(node: TestNode, incarnation: string): Promise<void> {
    this.kill(node);
    node.members = MemberTable.create(node.node);
    node.limiter = TenantRateLimiter.create(this.limits.tolerance, {
      ...plainTerms,
      ...this.limits.terms,
      startShare: restartedLevelShare,
    });
    for (const other of this.nodes.slice(0, storedNodes)) {
      if (other !== node) node.members.addAddress(other.ip, this.clock.now());
    }
    await this.start(node, incarnation);
  }

  kill(node: TestNode): void {
    node.cluster?.dispose();
    node.cluster = undefined;
  }

  close(): void {
    for (const node of this.nodes) this.kill(node);
  }

  /** Time until a node's link has sent a datagram; undefined if it is lost. */
  #waitForLink(node: TestNode, bytes: number): number | undefined {
    if (this.link === undefined) return 0;
    const { bytesPerMs, queueBytes } = this.link;
    const now = this.clock.now();
    const waitMs = Math.max(0, node.linkFreeAt - now);
    if (waitMs * bytesPerMs + bytes > queueBytes) return undefined;
    node.linkFreeAt = now + waitMs + bytes / bytesPerMs;
    return node.linkFreeAt - now;
  }

  async #deliver(bytes: Buffer, ip: string, waitMs: number): Promise<void> {
    const receiver = this.#nodesByIp.get(ip);
    await this.clock.sleep(waitMs + delayMs);
    if (receiver?.cluster === undefined) return;
    const message = decodePeerMessage(bytes);
    if (message !== undefined) receiver.received.fire(message);
  }
}

function createFeeds(): Readonly<Record<FeedKind, FeedState>> {
  return {
    configuration: FeedState.create(hasher),
    replicas: FeedState.create(hasher),
  };
}

export function createQuarantine(): PartQuarantine {
  return PartQuarantine.create({ isProber: () => false });
}
