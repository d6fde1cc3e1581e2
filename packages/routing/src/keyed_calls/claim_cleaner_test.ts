import * as assert from "uvu/assert";
import { test } from "uvu";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { claimBucketCount, ClaimCleaner } from "./claim_cleaner.ts";
import { formatClaimKey } from "./key_claims.ts";
import type { KeyOwner } from "./key_peers.ts";
import { FakeObjectStore } from "../testing/fake_object_store.ts";

const keepMs = 100_000;
const roundMs = 10_000;

async function createSetup(names: readonly string[]) {
  const clock = ManualClock.create();
  const store = new FakeObjectStore(clock);
  const hasher = await openHasher();
  const owners = names.map((node): KeyOwner => ({ node, incarnation: "i" }));
  const start = (identity: KeyOwner) =>
    ClaimCleaner.create({
      clock,
      store,
      hasher,
      identity,
      peers: { list: () => owners.filter((other) => other !== identity) },
      metrics: Metrics.create(),
      log: createSilentLog(),
      retainMs: keepMs,
      roundMs,
    }).start();
  const cleaners = owners.map(start);
  const add = (id: string) =>
    store.write(formatClaimKey(id), {}, { kind: "absent" });
  return { clock, store, add, cleaners };
}

test("claims are removed after their time and not before", async () => {
  const { clock, store, add, cleaners } = await createSetup(["a", "b"]);
  await add("00early");
  await clock.advance(50_000);
  await add("00late");
  await add("fflate");
  await clock.advance(49_000);
  assert.is(store.objects.size, 3);
  await clock.advance(30_000);
  assert.equal([...store.objects.keys()].sort(), [
    "claims/00/00late",
    "claims/ff/fflate",
  ]);
  await clock.advance(60_000);
  assert.is(store.objects.size, 0);
  for (const cleaner of cleaners) cleaner.dispose();
});

test("calls do not grow with the number of nodes", async () => {
  for (const names of [["a"], ["a", "b", "c", "d"]]) {
    const { clock, store, cleaners } = await createSetup(names);
    await clock.advance(roundMs);
    assert.is(store.calls, claimBucketCount);
    for (const cleaner of cleaners) cleaner.dispose();
  }
});

test("an outage removes nothing and cleaning goes on after it", async () => {
  const { clock, store, add, cleaners } = await createSetup(["a"]);
  await add("00key");
  await clock.advance(50_000);
  store.fault = "out";
  await clock.advance(100_000);
  assert.is(store.objects.size, 1);
  store.fault = "none";
  await clock.advance(20_000);
  assert.is(store.objects.size, 0);
  for (const cleaner of cleaners) cleaner.dispose();
});

test.run();
