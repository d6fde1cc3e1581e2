/**
 * A system that is too large for all nodes to exchange loads: loads stay in
 * their data centre, and delegates bring summaries and announcements to others.
 */

import * as assert from "uvu/assert";
import { test } from "uvu";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { TestNetwork } from "./testing/test_network.ts";

const hasher = await openHasher();
const zones = ["a1", "a2", "b1", "b2", "c1"];
const nodeCount = 40;
const lastSeed = 2;

async function openNetwork(): Promise<TestNetwork> {
  const network = new TestNetwork({ hasher, seed: 13 });
  for (let i = 0; i < nodeCount; i++) {
    const zone = zones[i % zones.length]!;
    const seeds = Array.from({ length: lastSeed + 1 }, (_, seed) => `n${seed}`);
    network.start(`n${i}`, { zone, region: zone[0]! }, seeds);
  }
  await network.clock.advance(15_000);
  return network;
}

function listZone(network: TestNetwork, zone: string): readonly string[] {
  return network.list().filter(({ identity }) => identity.zone === zone)
    .map(({ identity }) => identity.node);
}

const network = await openNetwork();

test("every node sees all nodes alive", () => {
  for (const { identity, membership } of network.list()) {
    const alive = membership.listAlive().length;
    assert.is(alive, nodeCount, `${identity.node} knows ${alive}`);
  }
});

test("two nodes of each data centre watch the store", () => {
  const delegates = network.list()
    .filter(({ membership }) => membership.isDelegate());
  assert.is(delegates.length, 2 * zones.length);
});

test("a change is in force everywhere within 3 s", async () => {
  network.store.write();
  await network.clock.advance(3_000);
  for (const { distributor } of network.list()) {
    assert.is(distributor.current().revision, network.store.revision);
  }
});

test("an apply reaches all nodes although the store fails right after it", async () => {
  const next = network.store.write();
  network.store.setUnavailable(true);
  void network.find("n17").distributor.accept(next);
  await network.clock.advance(3_000);
  for (const { distributor } of network.list()) {
    assert.is(distributor.current().revision, next.revision);
  }
  network.store.setUnavailable(false);
});

test("leaving endpoints are known everywhere within 2 s", async () => {
  network.find("n7").membership
    .markLeaving([{ endpoint: "e7", remainingMs: 9_000 }]);
  await network.clock.advance(1_000);
  for (const { membership } of network.list()) {
    assert.ok(membership.isLeaving("e7"));
  }
});

test("leaving endpoints are known although all delegates of a zone are dead", async () => {
  const dead = listZone(network, "b1")
    .filter((node) => network.find(node).membership.isDelegate());
  for (const node of dead) network.kill(node);
  network.find("n7").membership
    .markLeaving([{ endpoint: "e8", remainingMs: 9_000 }]);
  await network.clock.advance(2_000);
  for (const { membership } of network.list()) {
    assert.ok(membership.isLeaving("e8"));
  }
  await network.clock.advance(30_000);
  for (const { identity, membership } of network.list()) {
    const known = dead.map((node) => membership.find(node)?.state);
    assert.equal(known, ["suspected", "suspected"], identity.node);
  }
});

test("loads stay in the data centre, totals reach the others", async () => {
  const remote = network.list().find(({ identity }) => identity.zone === "c1")!;
  const reportingNodes: string[] = [];
  const demands: number[] = [];
  remote.membership.onNodeReport(({ node }) => reportingNodes.push(node));
  remote.membership.onAggregate(({ zone, demand }) => {
    if (zone !== "a1") return;
    demands.push(demand[0]?.requestsPerSecond ?? 0);
  });
  for (const node of listZone(network, "a1")) {
    network.find(node).membership.setDemand([
      { team: "x", requestsPerSecond: 2, tokensPerSecond: 5 },
    ]);
  }
  await network.clock.advance(20_000);
  const inZone = listZone(network, "c1");
  assert.ok(reportingNodes.length > 0);
  assert.ok(reportingNodes.every((node) => inZone.includes(node)));
  assert.is(demands.at(-1), 2 * listZone(network, "a1").length);
});

test("a region that is cut off is suspected, then alive again", async () => {
  const inside = ["a1", "a2"].flatMap((zone) => listZone(network, zone));
  const outside = network.list().map(({ identity }) => identity.node)
    .filter((node) => !inside.includes(node));
  for (const a of inside) {
    for (const b of outside) {
      network.cut(a, b);
      network.cut(b, a);
    }
  }
  await network.clock.advance(60_000);
  const count = (node: string): number =>
    network.find(node).membership.listAlive().length;
  assert.is(count(inside[0]!), inside.length);
  assert.is(count(outside[0]!), outside.length);
  network.heal();
  await network.clock.advance(30_000);
  for (const { identity } of network.list()) {
    assert.is(count(identity.node), network.list().length, identity.node);
  }
  network.dispose();
});

test.run();
