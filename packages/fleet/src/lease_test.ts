import * as assert from "uvu/assert";
import { test } from "uvu";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import {
  type ChooseOutcome,
  type InjectedOutcome,
  MemoryObjectStore,
} from "@almondcrank/infrastructure/memory_object_store.ts";
import { Lease, leasePrefix } from "./lease.ts";
import type { LeaseError } from "./lease_error.ts";
import { LeaseRenewer } from "./lease_renewer.ts";

const durationMs = 10_000;

function createLease(
  holder: string,
  store: MemoryObjectStore,
  { clock, chooseOutcome = () => "pass", ...rest }: {
    readonly clock: ManualClock;
    readonly chooseOutcome?: ChooseOutcome;
    readonly readKnownFencing?: () => number;
  },
): Lease {
  return Lease.create({
    ...rest,
    store: store.createClient(chooseOutcome),
    clock,
    shard: "muc-1",
    holder,
    durationMs,
  });
}

function setUp(): { clock: ManualClock; store: MemoryObjectStore } {
  const clock = ManualClock.create();
  return { clock, store: MemoryObjectStore.create(clock) };
}

/** Reads the fencing token that orders may carry now, 0 if none may be sent. */
function readFencing(lease: Lease): number {
  return lease.checkValid().orDefault(0);
}

test("one of two candidates acquires the lease, and the other takes over after expiry", async () => {
  const { clock, store } = setUp();
  const a = createLease("a", store, { clock });
  const b = createLease("b", store, { clock });
  await a.acquire();
  await b.acquire();
  assert.is(readFencing(a), 1);
  assert.is(readFencing(b), 0);
  await clock.advance(durationMs);
  assert.is(readFencing(a), 0, "the lease lapses at its holder first");
  await b.acquire();
  assert.is(
    readFencing(b),
    0,
    "the other candidate waits for the clock drift allowance",
  );
  await clock.advance(durationMs * 0.02);
  await b.acquire();
  assert.is(readFencing(b), 2);
});

test("a renewal keeps the lease and its fencing token", async () => {
  const { clock, store } = setUp();
  const a = createLease("a", store, { clock });
  await a.acquire();
  await clock.advance(6_000);
  await a.renew();
  await clock.advance(6_000);
  assert.is(readFencing(a), 1);
});

test("a lease is valid until the end of its time, and not after a release", async () => {
  const { clock, store } = setUp();
  const a = createLease("a", store, { clock });
  assert.is(a.validFencing, undefined);
  await a.acquire();
  // The allowance for clock drift is a hundredth.
  const validMs = durationMs * 0.99;
  await clock.advance(validMs - 1);
  assert.is(a.validFencing, 1);
  assert.is(readFencing(a), 1);
  await clock.advance(1);
  assert.is(a.validFencing, undefined);
  const lapsed = a.checkValid().swap().extract() as LeaseError;
  assert.equal(lapsed.detail, { kind: "lapsed", shard: "muc-1", lapsedMs: 0 });
  await a.renew();
  assert.is(a.validFencing, 1);
  await a.release();
  assert.is(a.validFencing, undefined);
  const released = a.checkValid().swap().extract() as LeaseError;
  assert.is(released.detail.kind, "not_held");
});

test("validity counts from before the renewal was sent", async () => {
  const { clock, store } = setUp();
  const a = createLease("a", store, {
    clock,
    chooseOutcome: async (call): Promise<InjectedOutcome> => {
      if (call === "write") await clock.sleep(7_000);
      return "pass";
    },
  });
  const acquiring = a.acquire();
  await clock.advance(7_000);
  await acquiring;
  assert.is(readFencing(a), 1);
  await clock.advance(3_000);
  assert.is(readFencing(a), 0);
});

test("a holder that renews too late may send no orders and then learns of its successor", async () => {
  const { clock, store } = setUp();
  const a = createLease("a", store, { clock });
  const b = createLease("b", store, { clock });
  await a.acquire();
  await b.acquire();
  await clock.advance(11_000);
  await b.acquire();
  assert.is(a.checkValid().swap().unsafeCoerce().kind, "lapsed");
  await a.renew();
  assert.is(a.checkValid().swap().unsafeCoerce().kind, "not_held");
  assert.is(readFencing(b), 2);
});

test("a lapsed lease that no other process acquired is renewed with the same token", async () => {
  const { clock, store } = setUp();
  const a = createLease("a", store, { clock });
  await a.acquire();
  await clock.advance(60_000);
  assert.is(readFencing(a), 0);
  await a.renew();
  assert.is(readFencing(a), 1);
});

for (const fate of ["lost_after", "lost_before"] as const) {
  test(`reading resolves an acquisition whose answer is ${fate}`, async () => {
    const { clock, store } = setUp();
    const fates = [fate];
    const a = createLease("a", store, {
      clock,
      chooseOutcome: (call) =>
        call === "write" ? fates.pop() ?? "pass" : "pass",
    });
    assert.is((await a.acquire()).isLeft(), true);
    assert.is(readFencing(a), 0);
    await a.acquire();
    assert.is(readFencing(a), 1);
  });
}

test("a renewal whose answer was lost is valid from when it was sent", async () => {
  const { clock, store } = setUp();
  let fate: "pass" | "lost_after" = "pass";
  const a = createLease("a", store, {
    clock,
    chooseOutcome: (call) => call === "write" ? fate : "pass",
  });
  await a.acquire();
  await clock.advance(3_000);
  fate = "lost_after";
  await a.renew();
  await clock.advance(6_950);
  assert.is(readFencing(a), 0, "a renewal of unknown outcome does not count");
  fate = "pass";
  await a.renew();
  assert.is(readFencing(a), 1);
  await clock.advance(2_900);
  assert.is(readFencing(a), 1);
  await clock.advance(100);
  assert.is(readFencing(a), 0, "the renewal found by reading was sent at 3 s");
});

test("a released lease can be acquired at once", async () => {
  const { clock, store } = setUp();
  const a = createLease("a", store, { clock });
  const b = createLease("b", store, { clock });
  await a.acquire();
  await a.release();
  assert.is(readFencing(a), 0);
  await b.acquire();
  assert.is(readFencing(b), 2);
});

test("a lease whose release may still take effect is not held again", async () => {
  const { clock, store } = setUp();
  const writes: ("pass" | "lost_before")[] = ["pass", "lost_before"];
  const a = createLease("a", store, {
    clock,
    chooseOutcome: (call) =>
      call === "write" ? writes.shift() ?? "pass" : "pass",
  });
  await a.acquire();
  await a.release();
  await a.acquire();
  assert.is(readFencing(a), 0);
});

test("the fencing token increases even if the lease object was removed", async () => {
  const { clock, store } = setUp();
  const a = createLease("a", store, { clock });
  await a.acquire();
  const key = `${leasePrefix}muc-1`;
  const object = (await store.read(key)).unsafeCoerce();
  await store.remove(key, object?.version ?? 0);
  await a.renew();
  assert.is(readFencing(a), 0);
  await a.acquire();
  assert.is(readFencing(a), 2);
});

test("only the first nodes in rendezvous order call the store", async () => {
  const { clock, store } = setUp();
  const hasher = await openHasher();
  const nodes = Array.from({ length: 60 }, (_, i) => `node-${i}`);
  const renewers = nodes.map((node, i) =>
    LeaseRenewer.create({
      lease: createLease(node, store, { clock }),
      clock,
      random: Random.create(i),
      hasher,
      metrics: Metrics.create(),
      log: createSilentLog(),
      node,
      listNodes: () => nodes,
    })
  );
  await clock.advance(60_000);
  const held = renewers.filter(({ lease }) => lease.checkValid().isRight());
  assert.is(held.length, 1);
  assert.ok(store.calls / 60 < 1.2, `${store.calls / 60} calls a second`);
  const stopping = held[0]?.stop();
  await clock.advance(4_000);
  await stopping;
  const next = renewers.filter(({ lease }) => lease.checkValid().isRight());
  assert.is(
    next.length,
    1,
    "a released lease is acquired within one renewal interval",
  );
  for (const renewer of renewers) renewer.dispose();
});

test("a holder whose lease has not lapsed claims it again after a restore, with a higher token", async () => {
  const { clock, store } = setUp();
  const copy = store.copy();
  const a = createLease("a", store, { clock });
  await a.acquire();
  const before = readFencing(a);
  store.restore(copy);
  await a.renew();
  assert.ok(readFencing(a) > 0, "the lease stays valid");
  await a.renew();
  assert.ok(readFencing(a) > before, `${readFencing(a)} after ${before}`);
});

test("a process whose old record a restore brings back does not hold the lease", async () => {
  const { clock, store } = setUp();
  const a = createLease("a", store, { clock });
  const b = createLease("b", store, { clock });
  await a.acquire();
  const copy = store.copy();
  await a.release();
  await b.acquire();
  const tokenOfB = readFencing(b);
  assert.ok(tokenOfB > 0);
  store.restore(copy);
  await a.acquire();
  assert.is(readFencing(a), 0, "a waits, since b may still hold the lease");
  await clock.advance(durationMs * 1.02);
  await a.acquire();
  assert.ok(readFencing(a) > tokenOfB, "a's token is higher than b's");
});

test("nobody else claims within one duration after a restore", async () => {
  const { clock, store } = setUp();
  const copy = store.copy();
  const a = createLease("a", store, { clock });
  const b = createLease("b", store, { clock });
  await b.acquire();
  await a.acquire();
  await clock.advance(durationMs * 1.02);
  await a.acquire();
  assert.ok(readFencing(a) > 0);
  // The copy is from before the lease existed.
  store.restore(copy);
  await b.acquire();
  assert.is(readFencing(b), 0, "b waits, since a may still hold the lease");
  await clock.advance(durationMs * 1.02);
  assert.is(readFencing(a), 0);
  await b.acquire();
  assert.ok(readFencing(b) > 0);
});

test("a write that crosses a restore gives no lease", async () => {
  const { clock, store } = setUp();
  const copy = store.copy();
  let isHeldUp = false;
  let release = (): void => {};
  let tokenOfB = 0;
  const a = createLease("a", store, {
    clock,
    chooseOutcome: async (call): Promise<InjectedOutcome> => {
      if (isHeldUp && call === "write") {
        await new Promise<void>((resolve) => release = resolve);
      }
      return "pass";
    },
    readKnownFencing: () => tokenOfB,
  });
  await a.acquire();
  isHeldUp = true;
  const renewal = a.renew();
  await clock.advance(1);
  store.restore(copy);
  const b = createLease("b", store, { clock });
  await b.acquire();
  tokenOfB = readFencing(b);
  // The held-up renewal finds b's record at the revision of its own one.
  release();
  await renewal;
  isHeldUp = false;
  await clock.advance(durationMs * 1.02);
  await b.renew();
  assert.is(readFencing(b), 0, "b sees the overwritten record");
  await a.acquire();
  assert.is(readFencing(a), 0);
  await clock.advance(durationMs * 1.02);
  await a.acquire();
  assert.ok(readFencing(a) > tokenOfB);
});

test.run();
