import { test } from "uvu";
import * as assert from "uvu/assert";
import { BodyBudget, type BodyShare } from "./body_budget.ts";
import { ManualClock } from "./manual_clock.ts";

const mib = 1_048_576;

test("bodies that hold too much together are read no further, small ones are", () => {
  const budget = BodyBudget.create();
  const large = Array.from({ length: 4 }, () => budget.open());
  for (const share of large) assert.ok(share.add(8 * mib));
  assert.not(large[0]?.add(1));
  const small = budget.open();
  assert.ok(small.add(200_000));
  assert.not(small.add(100_000));
  for (const share of [...large, small]) share.release();
  const next = budget.open();
  assert.ok(next.add(8 * mib));
  next.release();
  next.release();
  assert.ok(budget.open().add(32 * mib));
});

// Guards against many small bodies that pass the bound together.
test("small bodies have a bound, too, and the smallest most room", () => {
  const budget = BodyBudget.create({ maxBytes: mib });
  const countTaken = (bytes: number): number =>
    Array.from({ length: 200 }).filter(() => {
      const share = budget.open();
      const isTaken = share.add(bytes);
      if (!isTaken) share.release();
      return isTaken;
    }).length;
  assert.is(countTaken(262_144), 4);
  assert.is(countTaken(131_072), 1);
  assert.ok(countTaken(4_096) > 10);
  assert.ok(budget.heldBytes <= 1.25 * mib);
});

test("bodies that arrive give way to more urgent ones, the least urgent first", () => {
  const clock = ManualClock.create();
  const budget = BodyBudget.create({ maxBytes: 4 * mib, clock });
  const displaced: number[] = [];
  const open = (priority: number): BodyShare =>
    budget.open({ priority, onDisplaced: () => displaced.push(priority) });
  const whole = open(2);
  assert.ok(whole.add(mib));
  whole.complete();
  for (const priority of [1, 2, 0]) assert.ok(open(priority).add(mib));
  assert.not(open(2).add(mib));
  assert.equal(displaced, []);
  // What was refused holds its bytes until it is released.
  assert.is(budget.heldBytes, 5 * mib);
});

test("a body gives way only if that makes enough room", async () => {
  const clock = ManualClock.create();
  const budget = BodyBudget.create({ maxBytes: 4 * mib, clock });
  const displaced: number[] = [];
  const open = (priority: number): BodyShare =>
    budget.open({ priority, onDisplaced: () => displaced.push(priority) });
  for (const priority of [1, 2, 0, 0]) assert.ok(open(priority).add(mib));
  const huge = open(0);
  assert.not(huge.add(3 * mib));
  huge.release();
  assert.equal(displaced, []);
  assert.ok(open(0).add(mib));
  assert.equal(displaced, [2]);
  assert.ok(open(0).add(mib));
  assert.equal(displaced, [2, 1]);
  await clock.advance(1_999);
  const equal = open(0);
  assert.not(equal.add(mib));
  equal.release();
  await clock.advance(1);
  assert.ok(open(3).add(mib));
  assert.equal(displaced, [2, 1, 0]);
  assert.is(budget.heldBytes, 4 * mib);
});

// Guards against answers whose receivers never read them.
test("a body on its way out gives way after a time", async () => {
  const clock = ManualClock.create();
  const budget = BodyBudget.create({ maxBytes: 2 * mib, clock });
  let displaced = 0;
  const unread = budget.open({ priority: 0 });
  assert.ok(unread.set(mib));
  assert.ok(unread.set(2 * mib));
  await clock.advance(5_000);
  unread.deliver(() => displaced += 1);
  const early = budget.open();
  assert.not(early.add(mib));
  early.release();
  await clock.advance(2_000);
  assert.ok(budget.open().add(mib));
  assert.is(displaced, 1);
  assert.is(budget.heldBytes, mib);
});

// Guards against waiting requests that leave urgent ones no room.
test("whole bodies of less urgent requests leave room for small urgent ones", () => {
  const budget = BodyBudget.create({ maxBytes: mib });
  const open = (priority: number): BodyShare =>
    budget.open({ priority, onDisplaced: () => {} });
  for (let at = 0; at < 20; at += 1) {
    const share = open(3);
    if (share.add(100_000)) share.complete();
    else share.release();
  }
  assert.ok(open(0).add(50_000));
});

// Guards against one tenant whose large bodies leave others no room.
test("the bodies of one group hold half of all room, and make room for each other", async () => {
  const clock = ManualClock.create();
  const budget = BodyBudget.create({ maxBytes: 8 * mib, clock });
  const displaced: string[] = [];
  const open = (group: string): BodyShare =>
    budget.open({
      priority: 1,
      group,
      onDisplaced: () => displaced.push(group),
    });
  const large = Array.from({ length: 4 }, () => open("large"));
  for (const share of large) assert.ok(share.add(mib));
  const refused = open("large");
  assert.not(refused.add(mib));
  refused.release();
  assert.ok(open("small").add(4 * mib));
  await clock.advance(2_000);
  assert.ok(open("large").add(mib), "its own oldest one has had its time");
  assert.equal(displaced, ["large"]);
});

// Guards against a body within its limits that is refused each time.
test("a body that is larger than all room is read while there is no other", () => {
  const budget = BodyBudget.create({ maxBytes: mib });
  const first = budget.open({ priority: 1, group: "a" });
  assert.ok(first.add(4 * mib));
  assert.not(budget.open({ priority: 1, group: "b" }).add(4 * mib));
  first.release();
});

test.run();
