import { test } from "uvu";
import * as assert from "uvu/assert";
import { type NodeLoad, WorkLeft } from "./work_left.ts";

const runMs = 1_000;

function createLoad(active: number, pendingTokens = 0): NodeLoad {
  return { active, pendingTokens, activeTokens: active * 1_000 };
}

/** Lets peers tell of an average load for some seconds. */
function createKnown(average: NodeLoad): WorkLeft {
  const work = WorkLeft.create();
  for (let now = 0; now < 10_000; now += 250) {
    work.setPeers(average, { now, ageMs: 0 });
  }
  return work;
}

function state(running: number, waiting = 0) {
  return { running, waiting, slots: 8, slowness: undefined };
}

test("a report counts while it is fresh, and nears the average as it ages", () => {
  const work = createKnown(createLoad(10, 4_000));
  work.setPeers(createLoad(0, 0), { now: 10_000, ageMs: 0 });
  assert.ok(work.estimate(10_000, runMs).active < 1);
  assert.ok(work.estimate(10_000, runMs).pendingTokens < 100);
  const later = work.estimate(12_000, runMs);
  assert.ok(later.active > 8, `${later.active}`);
  assert.ok(later.pendingTokens > 3_500, `${later.pendingTokens}`);
  assert.ok(later.uncertainTokens > 3_500);
});

test("a report that was old on arrival is worth as little", () => {
  const work = createKnown(createLoad(10));
  work.setPeers(createLoad(0), { now: 10_000, ageMs: 2_000 });
  assert.ok(work.estimate(10_000, runMs).active > 8);
});

test("in a cut that ages everything, what this node sent is left", () => {
  const work = createKnown(createLoad(10));
  work.addOwn(createLoad(2, 500), 10_000);
  for (let now = 10_000; now < 60_000; now += 250) {
    work.setPeers(createLoad(0), { now, ageMs: 0 });
  }
  const { active, pendingTokens } = work.estimate(90_000, runMs);
  assert.ok(active >= 2 && active < 2.1, `${active}`);
  assert.ok(pendingTokens >= 500 && pendingTokens < 510);
});

test("what was sent after a statement is counted with it", () => {
  const work = WorkLeft.create();
  work.recordStatement(state(3), 1_000);
  work.addOwn(createLoad(1), 1_001);
  work.addOwn(createLoad(1), 1_002);
  const { active } = work.estimate(1_003, runMs);
  assert.ok(active > 4.9 && active <= 5, `${active}`);
});

test("a statement that can't know of a send does not take it away", () => {
  const work = WorkLeft.create();
  work.addOwn(createLoad(1), 1_000);
  work.recordStatement(state(3), 1_002);
  const { active } = work.estimate(1_002, runMs);
  assert.ok(active >= 4, `${active}`);
});

test("an old statement is worth nothing", () => {
  const work = createKnown(createLoad(6));
  work.recordStatement(state(8, 40), 10_000);
  assert.ok(work.estimate(10_000, runMs).active > 40);
  assert.ok(work.estimate(16_000, runMs).active < 6.5);
});

test("a replica that denies its work is believed only in part", () => {
  const work = createKnown(createLoad(10));
  work.addOwn(createLoad(4), 9_990);
  work.recordStatement(state(0), 10_000);
  assert.ok(work.estimate(10_000, runMs).active >= 7);
  const alone = WorkLeft.create();
  alone.addOwn(createLoad(4), 9_000);
  alone.recordStatement(state(0), 10_000);
  assert.ok(alone.estimate(10_000, runMs).active >= 4);
});

test("prompts at a replica that has stopped are not taken for done", () => {
  const work = WorkLeft.create();
  work.addOwn(createLoad(1, 9_000), 0);
  assert.is(work.estimate(60_000, runMs).pendingTokens, 9_000);
});

test("a statement that comes right after several sends has seen none of them", () => {
  const work = WorkLeft.create();
  const send = { active: 1, pendingTokens: 10, activeTokens: 10 };
  for (const now of [100, 101, 102]) work.addOwn(send, now);
  work.recordStatement(
    { running: 5, waiting: 0, slots: 8, slowness: undefined },
    103,
  );
  assert.is(work.estimate(103, 1_000).active, 8);
});

test("an estimate is a number for work that takes no time", () => {
  const work = WorkLeft.create();
  work.recordStatement(
    { running: 1, waiting: 0, slots: 8, slowness: undefined },
    5,
  );
  assert.ok(Number.isFinite(work.estimate(5, 0).active));
});

test.run();
