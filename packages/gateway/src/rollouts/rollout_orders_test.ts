/**
 * Orders that follow or replace one another, and versions of no order, on a driven
 * clock: what was not completed is never taken for an old version.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { RolloutNodes, rolloutService } from "../testing/rollout_nodes.ts";

const durationMs = 12_000;

/** Opens nodes of which the first has the lease, and plays while none is ordered. */
async function openNodes(count = 4): Promise<RolloutNodes> {
  const system = RolloutNodes.create(count);
  system.grantLease(system.nodes[0]);
  await system.run(3_000);
  return system;
}

/** Orders v2, whose replicas register a moment later. */
async function orderRollout(system: RolloutNodes): Promise<number> {
  const orderedAt = system.clock.now();
  system.orders.order("v2", durationMs);
  await system.run(100);
  system.setVersions(["v1", "v2"]);
  return orderedAt;
}

function failEveryThird(system: RolloutNodes): void {
  system.fresh = { hasFailed: (count) => count % 3 === 0, ms: 20 };
}

test("a version that was taken back is no old one for the next order", async () => {
  const system = await openNodes();
  failEveryThird(system);
  await orderRollout(system);
  await system.run(durationMs);
  assert.is(system.orders.entry?.state, "reverted");
  system.fresh = { hasFailed: () => false, ms: 20 };
  const at = system.clock.now();
  system.orders.order("v3", durationMs);
  await system.run(100);
  system.setVersions(["v1", "v2", "v3"]);
  await system.run(durationMs + 2_000);
  assert.is(system.orders.entry?.state, "completed");
  assert.is(system.countSends("v2", at), 0);
  system.setVersions(["v2", "v3"]);
  await system.run(2_000);
  assert.is(system.countSends("v2", at), 0);
  assert.is(system.refused, 0);
  system.close();
});

test("a version whose order was replaced in progress gets nothing more", async () => {
  const system = await openNodes();
  await orderRollout(system);
  await system.run(4_000);
  system.orders.order("v3", durationMs);
  system.setVersions(["v1", "v2", "v3"]);
  await system.run(600);
  const at = system.clock.now();
  await system.run(durationMs);
  assert.is(system.countSends("v2", at), 0);
  assert.ok(system.countSends("v3", at) > 0);
  system.close();
});

test("an order back to the old version takes the new one out at once", async () => {
  const system = await openNodes();
  await orderRollout(system);
  await system.run(4_000);
  system.orders.order("v1", durationMs);
  await system.run(600);
  assert.is(system.orders.entry?.state, "completed");
  const at = system.clock.now();
  await system.run(2_000);
  assert.is(system.countSends("v2", at), 0);
  assert.ok(system.countSends("v1", at) > 100);
  assert.is(system.refused, 0);
  system.close();
});

test("a third version that nobody looked up gets nothing while a share is given", async () => {
  const system = await openNodes();
  await orderRollout(system);
  await system.run(3_000);
  system.orders.fault = "down";
  system.setVersions(["v1", "v2", "v9"]);
  const at = system.clock.now();
  await system.run(2_000);
  assert.ok(system.countSends("v2", at) > 0);
  assert.is(system.countSends("v9", at), 0);
  system.close();
});

test("nodes refuse a request to a barred version that was chosen before", async () => {
  const system = await openNodes();
  await orderRollout(system);
  await system.run(1_000);
  system.orders.order("v3", durationMs);
  system.setVersions(["v1", "v2", "v3"]);
  await system.run(600);
  for (const { parts: { gate }, table } of system.nodes) {
    const barred = table.listUsable(rolloutService)
      .filter((state) => !gate.maySend(state))
      .map(({ replica }) => replica.softwareVersion);
    assert.equal([...new Set(barred)], ["v2"]);
  }
  system.close();
});

test("news with more barred versions than one order can have are not taken", async () => {
  const system = await openNodes(1);
  const [node] = system.nodes;
  if (node === undefined) throw new Error("no node");
  const { book, news } = node.parts;
  await orderRollout(system);
  await system.run(600);
  const told = JSON.parse(JSON.stringify(news.compose(0)));
  const [record] = told.records;
  const tell = (barred: readonly string[] | undefined): void =>
    news.apply({ ...told, records: [{ ...record, barred }] }, 0);
  tell(["a", "b", "c", "d", "e"]);
  assert.equal(book.find(rolloutService)?.barred, []);
  tell(undefined);
  assert.equal(book.find(rolloutService)?.barred, []);
  tell(["a", "b"]);
  assert.equal(book.find(rolloutService)?.barred, ["a", "b"]);
  system.close();
});

test.run();
