/**
 * What nodes of a large system know of each other, with the real exchange on a
 * clock driven by hand. Datagrams take a few milliseconds and may be lost.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { Emitter } from "@almondcrank/common/emitter.ts";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Random } from "@almondcrank/common/random.ts";
import type { Tenant } from "@almondcrank/model/configuration.ts";
import { createReplica } from "../testing/create_replica.ts";
import { ReplicaTable } from "../choice/replica_table.ts";
import { UsageCounts } from "../duties/usage_counts.ts";
import { WorkMeter } from "../duties/work_meter.ts";
import { FeedState } from "../feed/feed_state.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { LimitShares } from "@almondcrank/routing/limits/limit_shares.ts";
import { PartQuarantine } from "@almondcrank/routing/quarantine/part_quarantine.ts";
import { RetryBudget } from "@almondcrank/routing/repeats/retry_budget.ts";
import { TenantRateLimiter } from "../limits/tenant_rate_limiter.ts";
import { Cluster } from "./cluster.ts";
import { MemberTable } from "./member_table.ts";
import { PeerExchange } from "./peer_exchange.ts";
import {
  decodePeerMessage,
  encodePeerMessage,
  type PeerMessage,
} from "./peer_messages.ts";
import { ReportNews } from "./report_news.ts";
import { ReportTallies, type TallySource } from "./report_tallies.ts";

const hasher = await openHasher();
const tenant: Tenant = {
  name: "t",
  keys: [],
  unit: "tokens",
  defaultTokens: 1,
  ratePerSecond: 1,
  burst: 1_000_000,
};
const replica = createReplica({ id: "r" });
const replicaKey = "r/1";
const delayMs = 5;
const windowMs = 5_000;

/** Counts events of one name, its own and those of peers. */
class TestTally implements TallySource {
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
class TestNode {
  readonly node: string;
  readonly ip: string;
  readonly zone: string;
  readonly members: MemberTable;
  readonly limiter = TenantRateLimiter.create(0);
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
  cluster: Cluster | undefined;
  bytesSent = 0;
  fencingToken: number | undefined;

  constructor(system: TestSystem, index: number, zones: number) {
    this.zone = `z${index % zones}`;
    this.node = `node-${this.zone}-${String(index).padStart(3, "0")}`;
    this.ip = `10.0.0.${index}`;
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

/** Nodes that exchange datagrams. */
class TestSystem {
  readonly clock = ManualClock.create();
  readonly random = Random.create(5);
  readonly nodes: TestNode[] = [];
  loss = 0;
  /** Whether datagrams between two addresses are lost. */
  isCut: (from: string, to: string) => boolean = () => false;

  static async open(count: number, zones: number): Promise<TestSystem> {
    const system = new TestSystem();
    for (let index = 0; index < count; index += 1) {
      system.nodes.push(new TestNode(system, index, zones));
    }
    for (const node of system.nodes) await system.start(node, "1");
    await system.clock.advance(4_000);
    return system;
  }

  async start(node: TestNode, incarnation: string): Promise<void> {
    const { clock } = this;
    for (const seed of this.nodes.slice(0, 3)) {
      if (seed !== node) node.members.addAddress(seed.ip, clock.now());
    }
    node.limiter.prepare([tenant], clock.now());
    node.table.apply([replica], { now: clock.now(), mayHaveExpired: false });
    const feeds = {
      configuration: FeedState.create(hasher),
      replicas: FeedState.create(hasher),
    };
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
      news: ReportNews.create([{
        name: "test",
        maxBytes: 100,
        compose: () => node.newsOut,
        apply: (told) => node.newsIn = told,
      }], Metrics.create()),
      isDraining: () => false,
      isStoreUnreachable: () => false,
      readFencingToken: () => node.fencingToken,
      pullFeed: () => {},
    });
    node.cluster = await Cluster.open({
      clock,
      log: createSilentLog(),
      socket: {
        onReceived: node.received.event,
        send: (header, report, ip) => {
          const bytes = encodePeerMessage(header, report);
          node.bytesSent += bytes.length;
          if (this.random.next() < this.loss) return;
          if (this.isCut(node.ip, ip)) return;
          void this.#deliver(bytes, ip);
        },
      },
      members: node.members,
      exchange,
      feeds,
      isLeading: () => node.fencingToken !== undefined,
      controlPort: 0,
      answerOrigin: () => undefined,
      answerUnknownOrigin: () => "",
      pages: {},
    }, undefined);
  }

  kill(node: TestNode): void {
    node.cluster?.dispose();
    node.cluster = undefined;
  }

  close(): void {
    for (const node of this.nodes) this.kill(node);
  }

  async #deliver(bytes: Buffer, ip: string): Promise<void> {
    const receiver = this.nodes.find((node) => node.ip === ip);
    await this.clock.sleep(delayMs);
    if (receiver?.cluster === undefined) return;
    const message = decodePeerMessage(bytes);
    if (message !== undefined) receiver.received.fire(message);
  }
}

function createQuarantine(): PartQuarantine {
  return PartQuarantine.create({ isProber: () => false });
}

function sumCost(nodes: readonly TestNode[], cost: number): number {
  return nodes.length * cost;
}

test("each node of a large system learns what all others admit", async () => {
  const system = await TestSystem.open(48, 4);
  const { nodes, clock } = system;
  for (const node of nodes) {
    assert.is(node.members.listAlive(clock.now()).length, nodes.length - 1);
  }
  for (const node of nodes) {
    const charge = { cost: 100, priority: 1 };
    node.limiter.take(tenant, charge, clock.now());
    node.usage.recordRun("t");
  }
  await clock.advance(1_500);
  const expected = sumCost(nodes, 100);
  for (const node of nodes) {
    const known = node.readKnownCost(clock.now());
    assert.ok(Math.abs(known - expected) <= 10, `${node.node}: ${known}`);
  }
  const window = nodes[0]?.usage.readWindow() ?? 0;
  for (const node of nodes) {
    const totals = node.usage.computeTotals(window);
    const before = node.usage.computeTotals(window - 1);
    assert.is((totals["t"] ?? 0) + (before["t"] ?? 0), nodes.length);
  }
  system.close();
});

test("events that each node counts are summed on all, once each, and news reach all", async () => {
  const system = await TestSystem.open(30, 3);
  const { nodes, clock } = system;
  for (const node of nodes) node.tally.own += 2;
  await clock.advance(2_000);
  for (const { tally, node } of nodes) {
    assert.is(tally.own + tally.others, 2 * nodes.length, node);
  }
  for (const node of nodes) node.newsOut = { step: 3 };
  await clock.advance(2_000);
  for (const { newsIn } of nodes) assert.equal(newsIn, { step: 3 });
  for (const node of nodes) node.newsOut = "x".repeat(200);
  // Reports that were sent before arrive first.
  await clock.advance(1_000);
  for (const node of nodes) node.newsIn = undefined;
  await clock.advance(2_000);
  for (const { newsIn } of nodes) assert.is(newsIn, undefined);
});

test("the load that all others put on a replica reaches every node", async () => {
  const system = await TestSystem.open(32, 4);
  const { nodes, clock } = system;
  for (const node of nodes) {
    node.table.find(replicaKey)
      ?.addOwnLoad({ active: 2, pendingTokens: 10, activeTokens: 20 }, 0);
  }
  await clock.advance(1_500);
  for (const { node, table } of nodes) {
    const load = table.find(replicaKey)?.totalLoad;
    assert.equal(load, {
      active: 64,
      pendingTokens: 320,
      activeTokens: 640,
    }, node);
  }
  for (const node of nodes) {
    node.table.find(replicaKey)
      ?.addOwnLoad({ active: -2, pendingTokens: -10, activeTokens: -20 }, 0);
  }
  await clock.advance(1_500);
  for (const { table } of nodes) {
    assert.is(table.find(replicaKey)?.totalLoad.active, 0);
  }
  system.close();
});

test("relays that are killed are replaced and no usage is forgotten", async () => {
  const system = await TestSystem.open(40, 4);
  const { nodes, clock } = system;
  const window = nodes[0]?.usage.readWindow() ?? 0;
  for (const node of nodes) node.usage.recordRun("t");
  await clock.advance(2_000);
  // The last two of each zone by name are its relays.
  for (const relay of nodes.slice(-8)) system.kill(relay);
  await clock.advance(4_000);
  const rest = nodes.slice(0, -8);
  for (const node of rest) node.usage.recordRun("t");
  await clock.advance(3_000);
  for (const node of rest) {
    const totals = [0, 1, 2, 3].map((later) =>
      node.usage.computeTotals(window + later)["t"] ?? 0
    );
    const total = totals.reduce((sum, count) => sum + count, 0);
    assert.is(total, nodes.length + rest.length, node.node);
    assert.is(node.members.listAlive(clock.now()).length, rest.length - 1);
  }
  system.close();
});

test("a node that hears only a few others for long knows that it does, and finds all again", async () => {
  const system = await TestSystem.open(40, 4);
  const { nodes, clock } = system;
  const [lost] = nodes;
  assert.ok(lost);
  const heard = new Set(nodes.slice(1, 5).map(({ ip }) => ip));
  system.isCut = (from, to) =>
    (from === lost.ip && !heard.has(to)) ||
    (to === lost.ip && !heard.has(from));
  await clock.advance(3_000);
  for (let second = 0; second < 20; second += 1) {
    await clock.advance(1_000);
    assert.is(lost.members.isIsolated(clock.now()), true, `${second} s`);
  }
  system.isCut = () => false;
  await clock.advance(6_000);
  assert.is(lost.members.isIsolated(clock.now()), false);
  assert.is(lost.members.listAlive(clock.now()).length, nodes.length - 1);
  const window = lost.usage.readWindow();
  for (const node of nodes) node.usage.recordRun("t");
  await clock.advance(2_000);
  assert.is(lost.usage.computeTotals(window)["t"], nodes.length);
  system.close();
});

test("usage of each window is known everywhere soon after its end", async () => {
  const system = await TestSystem.open(18, 6);
  const { nodes, clock, random } = system;
  const truth = new Map<number, number>();
  const settleMs = 2_700;
  const first = nodes[0]?.usage.readWindow() ?? 0;
  let checked = 0;
  for (let step = 0; step < 400; step += 1) {
    for (const node of nodes) {
      if (node.cluster === undefined || random.next() < 0.7) continue;
      const window = node.usage.readWindow();
      node.usage.recordRun("t");
      truth.set(window, (truth.get(window) ?? 0) + 1);
    }
    await clock.advance(100);
    const now = clock.wallTime();
    const window = Math.floor(now / windowMs);
    if (now - window * windowMs !== Math.floor(settleMs / 100) * 100) continue;
    if (window <= first + 1) continue;
    for (const { node, usage } of nodes) {
      const total = usage.computeTotals(window - 1)["t"] ?? 0;
      assert.is(total, truth.get(window - 1), `${node}, window ${window - 1}`);
      checked += 1;
    }
  }
  assert.ok(checked > 60, `${checked} totals`);
  system.close();
});

test("the common time of day does not fall behind", async () => {
  const system = await TestSystem.open(30, 3);
  const { nodes, clock } = system;
  await clock.advance(60_000);
  for (const { node, members } of nodes) {
    const now = clock.now();
    const time = members.computeWallTime(now, clock.wallTime());
    const lateMs = clock.wallTime() - time;
    assert.ok(lateMs <= 3 * delayMs, `${node}: ${lateMs} ms behind`);
  }
  system.close();
});

test("lost datagrams delay what nodes know and change nothing", async () => {
  const system = await TestSystem.open(40, 4);
  const { nodes, clock } = system;
  system.loss = 0.1;
  for (let round = 0; round < 10; round += 1) {
    for (const node of nodes) {
      node.limiter.take(tenant, { cost: 10, priority: 1 }, clock.now());
    }
    await clock.advance(500);
  }
  system.loss = 0;
  await clock.advance(2_000);
  const expected = sumCost(nodes, 100);
  for (const node of nodes) {
    const known = node.readKnownCost(clock.now());
    assert.ok(Math.abs(known - expected) <= 150, `${node.node}: ${known}`);
  }
  system.close();
});

test("a node that starts late or again learns of all others", async () => {
  const system = await TestSystem.open(30, 3);
  const { nodes, clock } = system;
  const node = nodes[17];
  if (node === undefined) throw new Error("no such node");
  system.kill(node);
  await clock.advance(1_000);
  await system.start(node, "2");
  await clock.advance(2_000);
  assert.is(node.members.listAlive(clock.now()).length, nodes.length - 1);
  for (const other of nodes) {
    if (other === node) continue;
    const known = other.members.find(node.node);
    assert.ok(clock.now() - (known?.lastSeenAt ?? 0) < 2_000, other.node);
  }
  system.close();
});

test("all nodes learn who holds the duties", async () => {
  const system = await TestSystem.open(30, 3);
  const { nodes, clock } = system;
  const [holder] = nodes;
  if (holder === undefined) throw new Error("no node");
  holder.fencingToken = 7;
  await clock.advance(1_500);
  for (const node of nodes.slice(1)) {
    const found = node.members.findDutyHolder(clock.now());
    assert.is(found?.node, holder.node);
    assert.is(node.members.highestFencingToken, 7);
  }
  system.close();
});

test("a prompt part under which replicas crash is known everywhere, also after a restart", async () => {
  const system = await TestSystem.open(48, 4);
  const { nodes, clock } = system;
  system.loss = 0.1;
  for (const [at, node] of nodes.slice(10, 14).entries()) {
    node.quarantine.recordCrash(["bad", `own-${at}`], `r-${at}/1`, clock.now());
  }
  await clock.advance(2_000);
  const checkAll = (): void => {
    for (const { node, quarantine } of nodes) {
      const kind = quarantine.check(["bad"], clock.now()).kind;
      assert.is(kind, "quarantined", node);
    }
  };
  checkAll();
  await clock.advance(30_000);
  const [started] = nodes.slice(20);
  if (started === undefined) throw new Error("no such node");
  system.kill(started);
  started.quarantine = createQuarantine();
  await clock.advance(1_000);
  await system.start(started, "2");
  await clock.advance(1_000);
  checkAll();
  system.close();
});

test("bytes sent by a node do not grow with the number of nodes", async () => {
  const means: number[] = [];
  for (const count of [24, 96]) {
    const system = await TestSystem.open(count, 4);
    const before = system.nodes.map(({ bytesSent }) => bytesSent);
    await system.clock.advance(10_000);
    const sent = system.nodes.map((node, at) =>
      (node.bytesSent - (before[at] ?? 0)) / 10
    );
    means.push(sent.reduce((sum, bytes) => sum + bytes, 0) / count);
    system.close();
  }
  const [few = 0, many = 0] = means;
  assert.ok(many < few * 1.5, `${few} and ${many} bytes/s a node`);
  assert.ok(many < 15_000, `${many} bytes/s a node`);
});

test.run();
