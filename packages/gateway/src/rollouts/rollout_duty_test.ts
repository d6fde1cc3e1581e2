/**
 * Orders of rollouts while holders, nodes and the store fail, on a driven clock.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  rolloutLimit,
  RolloutNodes,
  rolloutService,
} from "../testing/rollout_nodes.ts";

const durationMs = 12_000;
const rollbackMs = 5_000;

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

function checkExposure(system: RolloutNodes, orderedAt: number): void {
  const until = orderedAt + durationMs;
  const fresh = system.countSends("v2", orderedAt, until);
  const all = fresh + system.countSends("v1", orderedAt, until);
  const bound = rolloutLimit.share * all + rolloutLimit.tolerance;
  assert.ok(fresh <= bound, `${fresh} of ${all}`);
}

test("a good version gets a part of the traffic, then all, just in time", async () => {
  const system = await openNodes();
  const orderedAt = await orderRollout(system);
  await system.run(durationMs - 100);
  assert.is(system.orders.entry?.state, "completed");
  checkExposure(system, orderedAt);
  system.setVersions(["v2"]);
  const at = system.clock.now();
  await system.run(2_000);
  assert.is(system.countSends("v1", at), 0);
  assert.is(system.refused, 0);
  system.close();
});

test("a bad version is taken back, and stays so when all nodes restart", async () => {
  const system = await openNodes();
  failEveryThird(system);
  const orderedAt = await orderRollout(system);
  await system.run(durationMs);
  assert.is(system.orders.entry?.state, "reverted");
  checkExposure(system, orderedAt);
  for (const node of [...system.nodes]) system.stop(node);
  const at = system.clock.now();
  for (const name of ["m0", "m1"]) system.addNode(name);
  system.grantLease(system.nodes.at(-1));
  await system.run(4_000);
  assert.is(system.countSends("v2", at), 0);
  assert.ok(system.countSends("v1", at) > 100);
  system.close();
});

test("days without an order cost a few calls, and versions may mix", async () => {
  const system = await openNodes();
  system.setVersions(["v1", "v3"]);
  const at = system.clock.now();
  await system.run(4_000);
  const sent = system.countSends("v3", at + 2_000);
  assert.ok(sent > 100, `${sent}`);
  assert.is(system.orders.writes.length, 0);
  system.close();
});

test("replicas that register before their order is known get nothing", async () => {
  const system = await openNodes();
  system.orders.order("v2", durationMs);
  system.setVersions(["v1", "v2"]);
  const at = system.clock.now();
  await system.run(600);
  assert.is(system.countSends("v2", at), 0);
  system.close();
});

test("a successor takes a bad version back when the holder dies before it writes", async () => {
  const system = await openNodes();
  failEveryThird(system);
  const orderedAt = await orderRollout(system);
  const { orders } = system;
  const isStopped = (): boolean =>
    system.nodes.some(({ parts }) =>
      parts.book.find(rolloutService)?.stopReason !== undefined
    );
  while (!isStopped()) {
    if (orders.entry?.state !== undefined) orders.fault = "down";
    await system.run(50);
  }
  system.stop(system.nodes[0]);
  orders.fault = "none";
  await system.run(2_000);
  const stoppedAt = system.clock.now();
  system.grantLease(system.nodes[1]);
  await system.run(2_000);
  assert.is(orders.entry?.state, "reverted");
  assert.is(system.countSends("v2", stoppedAt), 0);
  checkExposure(system, orderedAt);
  system.close();
});

test("a successor completes a good version when the holder dies in the middle", async () => {
  const system = await openNodes();
  const orderedAt = await orderRollout(system);
  await system.run(5_000);
  system.stop(system.nodes[0]);
  await system.run(2_000);
  system.grantLease(system.nodes[1]);
  await system.run(durationMs - 7_100);
  assert.is(system.orders.entry?.state, "completed");
  checkExposure(system, orderedAt);
  system.close();
});

test("of two that believe to hold the lease, one ends the order and none undoes it", async () => {
  const system = await openNodes();
  const orderedAt = await orderRollout(system);
  await system.run(3_000);
  system.grantLease(system.nodes[1]);
  await system.run(durationMs);
  const ends = system.orders.writes.filter(({ state }) =>
    state !== "in_progress"
  );
  assert.is(ends.length, 1);
  assert.is(system.orders.entry?.state, "completed");
  checkExposure(system, orderedAt);
  system.close();
});

test("a holder that wakes after its lease has lapsed does not undo the end", async () => {
  const system = await openNodes();
  failEveryThird(system);
  await orderRollout(system);
  await system.run(1_500);
  const [frozen, next] = system.nodes;
  if (frozen === undefined) throw new Error("no node");
  frozen.isAlive = false;
  frozen.isConnected = false;
  const fencing = frozen.lease.fencingToken;
  frozen.lease.fencingToken = undefined;
  system.grantLease(next);
  await system.run(durationMs);
  assert.is(system.orders.entry?.state, "reverted");
  const at = system.clock.now();
  frozen.isAlive = true;
  frozen.lease.fencingToken = fencing;
  await system.run(3_000);
  assert.is(system.orders.entry?.state, "reverted");
  assert.is(system.countSends("v2", at), 0);
  system.close();
});

test("while the store is down, all nodes stop a bad version, and it is written later", async () => {
  const system = await openNodes();
  const orderedAt = await orderRollout(system);
  await system.run(2_000);
  failEveryThird(system);
  system.orders.fault = "down";
  await system.run(rollbackMs + 1_000);
  const at = system.clock.now();
  await system.run(1_000);
  assert.is(system.countSends("v2", at), 0);
  system.orders.fault = "none";
  await system.run(2_000);
  assert.is(system.orders.entry?.state, "reverted");
  checkExposure(system, orderedAt);
  system.close();
});

test("a good version is taken back if the store is down beyond its time", async () => {
  const system = await openNodes();
  const orderedAt = await orderRollout(system);
  await system.run(3_000);
  system.orders.fault = "down";
  await system.run(durationMs + 6_000);
  checkExposure(system, orderedAt);
  const at = system.clock.now();
  system.orders.fault = "none";
  await system.run(2_000);
  assert.is(system.orders.entry?.state, "reverted");
  assert.is(system.countSends("v2", at), 0);
  system.close();
});

test("a slow store does not delay the steps", async () => {
  const system = await openNodes();
  system.orders.delayMs = 500;
  const orderedAt = await orderRollout(system);
  await system.run(durationMs - 100);
  assert.is(system.orders.entry?.state, "completed");
  checkExposure(system, orderedAt);
  system.close();
});

test("an end of which the store's answer was lost is learnt by reading", async () => {
  const system = await openNodes();
  await orderRollout(system);
  system.orders.fault = "lose_writes";
  await system.run(durationMs);
  assert.is(system.orders.entry?.state, "completed");
  const ends = system.orders.writes.filter(({ state }) =>
    state === "completed"
  );
  assert.is(ends.length, 1);
  system.setVersions(["v2"]);
  const at = system.clock.now();
  await system.run(2_000);
  assert.is(system.refused, 0);
  assert.ok(system.countSends("v2", at) > 100);
  system.close();
});

test("a store that turns the holder away leaves the order to the next one", async () => {
  const system = await openNodes();
  const orderedAt = await orderRollout(system);
  await system.run(2_000);
  system.orders.fault = "down";
  system.orders.isAffected = (node) => node === "n0";
  await system.run(3_000);
  system.nodes[0]!.lease.fencingToken = undefined;
  system.grantLease(system.nodes[1]);
  await system.run(durationMs - 5_100);
  assert.is(system.orders.entry?.state, "completed");
  checkExposure(system, orderedAt);
  system.close();
});

test("a store that comes back older brings no taken back version into use", async () => {
  const system = await openNodes();
  failEveryThird(system);
  await orderRollout(system);
  const { entry, revision } = system.orders;
  await system.run(durationMs);
  assert.is(system.orders.entry?.state, "reverted");
  system.orders.restore(entry, revision);
  const at = system.clock.now();
  await system.run(3_000);
  assert.is(system.orders.entry?.state, "reverted");
  assert.is(system.countSends("v2", at), 0);
  system.close();
});

test("a store that comes back older undoes no completion", async () => {
  const system = await openNodes();
  await orderRollout(system);
  const { entry, revision } = system.orders;
  await system.run(durationMs);
  assert.is(system.orders.entry?.state, "completed");
  system.setVersions(["v2"]);
  system.orders.restore(entry, revision);
  const at = system.clock.now();
  await system.run(3_000);
  assert.is(system.orders.entry?.state, "completed");
  assert.is(system.countSends("v1", at), 0);
  assert.is(system.refused, 0);
  system.close();
});

test("a node that starts in the middle holds to the step", async () => {
  const system = await openNodes();
  const orderedAt = await orderRollout(system);
  await system.run(4_000);
  system.addNode("late");
  await system.run(3_000);
  const sent = system.sends.filter(({ node }) => node === "late");
  const fresh = sent.filter(({ version }) => version === "v2").length;
  assert.ok(fresh < sent.length * 0.45, `${fresh} of ${sent.length}`);
  await system.run(durationMs - 7_100);
  checkExposure(system, orderedAt);
  assert.is(system.orders.entry?.state, "completed");
  system.close();
});

test("a node that is cut off falls back to the old version", async () => {
  const system = await openNodes();
  await orderRollout(system);
  await system.run(4_000);
  const last = system.nodes.at(-1);
  if (last === undefined) throw new Error("no node");
  last.isConnected = false;
  await system.run(2_700);
  const at = system.clock.now();
  await system.run(3_000);
  const fresh = system.sends.filter(({ node, version, at: sentAt }) =>
    node === last.name && version === "v2" && sentAt >= at
  );
  assert.is(fresh.length, 0);
  system.close();
});

test("a version of which little was seen by the end is taken back", async () => {
  const system = await openNodes();
  system.orders.order("v2", durationMs);
  await system.run(durationMs - 1_500);
  system.setVersions(["v1", "v2"]);
  await system.run(3_000);
  assert.is(system.orders.entry?.state, "reverted");
  system.close();
});

test("an order that nobody knows the progress of is taken back", async () => {
  const system = await openNodes();
  await orderRollout(system);
  await system.run(3_000);
  for (const node of [...system.nodes]) system.stop(node);
  const at = system.clock.now();
  system.addNode("m0");
  system.grantLease(system.nodes.at(-1));
  await system.run(2_000);
  assert.is(system.orders.entry?.state, "reverted");
  assert.is(system.countSends("v2", at), 0);
  system.close();
});

test("a withdrawn order leaves the service at the old version", async () => {
  const system = await openNodes();
  await orderRollout(system);
  await system.run(3_000);
  system.orders.withdraw();
  await system.run(1_000);
  const at = system.clock.now();
  await system.run(1_000);
  assert.is(system.countSends("v2", at), 0);
  assert.ok(system.countSends("v1", at) > 50);
  system.close();
});

test("an order for the version that runs is completed at once", async () => {
  const system = await openNodes();
  system.orders.order("v1", durationMs);
  await system.run(1_000);
  assert.is(system.orders.entry?.state, "completed");
  assert.ok(system.countSends("v1", 0) > 100);
  system.close();
});

test("a second order replaces the first one", async () => {
  const system = await openNodes();
  await orderRollout(system);
  await system.run(4_000);
  system.orders.order("v3", durationMs);
  system.setVersions(["v1", "v2", "v3"]);
  await system.run(1_000);
  const record = system.nodes[2]?.parts.book.find(rolloutService);
  assert.is(record?.order.to, "v3");
  system.close();
});

test("an order without a duration is left alone", async () => {
  const system = await openNodes();
  system.orders.order("v2", durationMs);
  const { entry } = system.orders;
  if (entry === undefined) throw new Error("no entry");
  system.orders.entry = { ...entry, durationMs: undefined };
  system.setVersions(["v1", "v2"]);
  await system.run(3_000);
  assert.is(system.orders.writes.length, 0);
  assert.is(system.orders.entry?.state, undefined);
  system.close();
});

test.run();
