/**
 * What nodes of a large system know of each other, with the real exchange on a
 * clock driven by hand.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  createQuarantine,
  delayMs,
  replicaKey,
  tenant,
  type TestNode,
  TestSystem,
  windowMs,
} from "../testing/test_system.ts";

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
