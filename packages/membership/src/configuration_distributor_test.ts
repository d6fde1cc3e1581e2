import * as assert from "uvu/assert";
import { test } from "uvu";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { TestNetwork, type TestNode } from "./testing/test_network.ts";

const hasher = await openHasher();
const zones = ["muc-1", "muc-2", "nue-1", "nue-2"];

/** Starts `count` nodes over the zones and lets them learn of each other. */
async function openNetwork(count: number, seed = 3): Promise<TestNetwork> {
  const network = new TestNetwork({ hasher, seed });
  for (let i = 0; i < count; i++) {
    network.start(`n${i}`, { zone: zones[i % zones.length]! }, ["n0", "n1"]);
  }
  await network.clock.advance(5_000);
  return network;
}

function readRevisions(network: TestNetwork): readonly number[] {
  return network.list().map(({ distributor: spread }) =>
    spread.current().revision
  );
}

/** Nodes that wait on the store. */
function listDelegates(network: TestNetwork): readonly TestNode[] {
  return network.list().filter(({ membership }) => membership.isDelegate());
}

test("a change in the store is in force on all nodes", async () => {
  const network = await openNetwork(12);
  network.store.write();
  await network.clock.advance(500);
  assert.equal(readRevisions(network), Array(12).fill(1));
  network.dispose();
});

test("only delegates wait on the store", async () => {
  const network = await openNetwork(16);
  assert.is(listDelegates(network).length, 8);
  network.dispose();
});

test("an apply spreads although the platform is cut at once", async () => {
  const network = await openNetwork(12);
  const next = network.store.write();
  network.store.setUnavailable(true);
  void network.find("n5").distributor.accept(next);
  await network.clock.advance(500);
  assert.equal(readRevisions(network), Array(12).fill(1));
  network.dispose();
});

test("a node that missed the announcement catches up by exchange", async () => {
  const network = await openNetwork(12);
  network.store.setUnavailable(true);
  network.cut("n5", "n7");
  const next = network.store.write();
  void network.find("n5").distributor.accept(next);
  await network.clock.advance(3_000);
  assert.equal(readRevisions(network), Array(12).fill(1));
  network.dispose();
});

test("a delegate killed in the middle of its push delays nobody over 3 s", async () => {
  const network = await openNetwork(16);
  for (const { identity } of network.list()) {
    network.cut(identity.node, "store");
  }
  const delegate = listDelegates(network)[0]!;
  await network.clock.advance(2_000);
  const next = network.store.write();
  void delegate.distributor.accept(next);
  const countReached = (): number =>
    readRevisions(network).filter((revision) => revision === 1).length;
  while (countReached() < 3) await network.clock.advance(1);
  assert.ok(countReached() < 16);
  network.kill(delegate.identity.node);
  network.lossRate = 1;
  await network.clock.advance(50);
  network.lossRate = 0;
  await network.clock.advance(3_000);
  assert.equal(readRevisions(network), Array(15).fill(1));
  network.dispose();
});

test("all delegates of a data centre may die at once", async () => {
  const network = await openNetwork(16);
  for (const { identity } of listDelegates(network)) {
    if (identity.zone === "muc-1") network.kill(identity.node);
  }
  network.store.write();
  await network.clock.advance(3_000);
  assert.equal(readRevisions(network), Array(14).fill(1));
  network.dispose();
});

test("a frozen node that wakes with an old change reverts nobody", async () => {
  const network = await openNetwork(8);
  const frozen = listDelegates(network)[0]!;
  network.store.write();
  network.freeze(frozen.identity.node);
  await network.clock.advance(1_000);
  network.store.write();
  network.store.write();
  await network.clock.advance(1_000);
  network.thaw(frozen.identity.node);
  await network.clock.advance(3_000);
  assert.equal(readRevisions(network), Array(8).fill(3));
  for (const { revisions } of network.list()) {
    const sorted = [...revisions].sort((a, b) => a - b);
    assert.equal(revisions, sorted);
  }
  network.dispose();
});

test("a fresh node in an outage takes the peers' revision", async () => {
  const network = await openNetwork(8);
  network.store.write();
  await network.clock.advance(1_000);
  network.store.setUnavailable(true);
  const fresh = network.start("n8", { zone: "muc-1" }, ["n0", "n1"]);
  let isReady = false;
  void fresh.distributor.waitReady().then(() => isReady = true);
  await network.clock.advance(3_000);
  assert.ok(isReady);
  assert.is(fresh.distributor.current().revision, 1);
  assert.match(
    fresh.metrics.format(),
    'configuration_ready{source="peers"} 1',
  );
  network.dispose();
});

test("a fresh node takes the highest of several data centres", async () => {
  const network = await openNetwork(8);
  network.store.write();
  await network.clock.advance(1_000);
  // One data centre is cut off and stays behind.
  for (const behind of ["n0", "n4"]) {
    network.cut(behind, "store");
    for (const { identity } of network.list()) {
      network.cut(identity.node, behind);
      network.cut(behind, identity.node);
    }
  }
  network.store.write();
  await network.clock.advance(1_000);
  network.store.setUnavailable(true);
  assert.is(network.find("n0").distributor.current().revision, 1);
  const fresh = network.start("n8", { zone: "muc-1" }, ["n0", "n1"]);
  let isReady = false;
  void fresh.distributor.waitReady().then(() => isReady = true);
  await network.clock.advance(3_000);
  assert.ok(isReady);
  assert.is(fresh.distributor.current().revision, 2);
  network.dispose();
});

test("nodes that all start in an outage are not ready without a configuration", async () => {
  const network = new TestNetwork({ hasher, seed: 5 });
  network.store.write();
  network.store.setUnavailable(true);
  const ready: string[] = [];
  for (let i = 0; i < 6; i++) {
    const node = network.start(`n${i}`, { zone: zones[i % 4]! }, ["n0"]);
    void node.distributor.waitReady().then(() => ready.push(`n${i}`));
  }
  await network.clock.advance(10_000);
  assert.equal(ready, []);
  network.store.setUnavailable(false);
  await network.clock.advance(3_000);
  assert.is(ready.length, 6);
  assert.equal(readRevisions(network), Array(6).fill(1));
  network.dispose();
});

test("a peer a few revisions behind is sent the changes only", async () => {
  const network = await openNetwork(4);
  for (let i = 0; i < 5; i++) {
    network.store.write();
    await network.clock.advance(1_000);
  }
  const { distributor: spread } = network.find("n0");
  const kinds = [5, 3, 99].map((since) =>
    spread.handleConfigurationRequest({ since }).kind
  );
  assert.equal(kinds, ["current", "delta", "current"]);
  assert.is(spread.handleConfigurationRequest({ since: -1 }).kind, "whole");
  network.dispose();
});

test.run();
