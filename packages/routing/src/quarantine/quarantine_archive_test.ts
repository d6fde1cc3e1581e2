/**
 * Pattern: nodes quarantine a part, all of them end at once, and new ones start that
 * know nothing but the store.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { FakeObjectStore } from "../testing/fake_object_store.ts";
import { PartQuarantine } from "./part_quarantine.ts";
import { QuarantineArchive } from "./quarantine_archive.ts";

const hasher = await openHasher();
const part = "request:1";

function createNode(
  clock: ManualClock,
  store: FakeObjectStore,
  isOwner = true,
) {
  const quarantine = PartQuarantine.create({ isProber: () => isOwner });
  const archive = QuarantineArchive.create({
    store,
    quarantine,
    clock,
    readWallTime: () => clock.wallTime(),
    isOwner: () => isOwner,
    hasher,
    log: createSilentLog(),
  });
  const crash = (replica: string) =>
    quarantine.recordCrash([part], replica, clock.now());
  return { quarantine, archive, crash };
}

async function listStored(store: FakeObjectStore): Promise<number> {
  const list = await store.list("quarantine");
  return list.unsafeCoerce().objects.length;
}

test("a new node refuses what was in quarantine before all nodes ended", async () => {
  const clock = ManualClock.create();
  const store = new FakeObjectStore(clock);
  const before = createNode(clock, store);
  for (const replica of ["r1", "r2", "r3"]) before.crash(replica);
  await clock.advance(3_000);
  before.archive.dispose();
  const after = createNode(clock, store);
  await clock.advance(100);
  assert.is(after.quarantine.check([part], clock.now()).kind, "quarantined");
  after.archive.dispose();
});

test("only one node stores a part, and removes it when it leaves", async () => {
  const clock = ManualClock.create();
  const store = new FakeObjectStore(clock);
  const owner = createNode(clock, store);
  const other = createNode(clock, store, false);
  for (const node of [owner, other]) {
    for (const replica of ["r1", "r2", "r3"]) node.crash(replica);
  }
  await clock.advance(3_000);
  assert.is(await listStored(store), 1);
  const writes = store.writes;
  await clock.advance(10_000);
  assert.is(store.writes, writes);
  for (const { quarantine } of [owner, other]) {
    quarantine.recordOwnSurvival([part], clock.now(), clock.now());
  }
  await clock.advance(3_000);
  assert.is(await listStored(store), 0);
  owner.archive.dispose();
  other.archive.dispose();
});

test("a node reads the store again until it answers, and leaves malformed objects out", async () => {
  const clock = ManualClock.create();
  const store = new FakeObjectStore(clock);
  await store.write("quarantine/x", { part: 1 }, { kind: "absent" });
  const before = createNode(clock, store);
  for (const replica of ["r1", "r2", "r3"]) before.crash(replica);
  await clock.advance(3_000);
  before.archive.dispose();
  store.nextFaults.push("out", "lost_before");
  const after = createNode(clock, store);
  await clock.advance(100);
  assert.is(after.quarantine.check([part], clock.now()).kind, "free");
  await clock.advance(6_000);
  assert.is(after.quarantine.check([part], clock.now()).kind, "quarantined");
  after.archive.dispose();
});

test.run();
