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
import { LeaseRenewer } from "./lease_renewer.ts";

const durationMs = 10_000;

function createLease(
  holder: string,
  store: MemoryObjectStore,
  { clock, choose = () => "pass" }: {
    readonly clock: ManualClock;
    readonly choose?: ChooseOutcome;
  },
): Lease {
  return Lease.create({
    store: store.createClient(choose),
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

/** Fencing number that orders may carry now, 0 when none may be sent. */
function readFencing(lease: Lease): number {
  return lease.checkValid().orDefault(0);
}

test("one of two acquires, and the other takes over after the expiry", async () => {
  const { clock, store } = setUp();
  const a = createLease("a", store, { clock });
  const b = createLease("b", store, { clock });
  await a.acquire();
  await b.acquire();
  assert.is(readFencing(a), 1);
  assert.is(readFencing(b), 0);
  await clock.advance(durationMs);
  assert.is(readFencing(a), 0, "the holder stops first");
  await b.acquire();
  assert.is(readFencing(b), 0, "the observer waits for the drift bound");
  await clock.advance(durationMs * 0.02);
  await b.acquire();
  assert.is(readFencing(b), 2);
});

test("a renewal keeps the fencing number and the lease", async () => {
  const { clock, store } = setUp();
  const a = createLease("a", store, { clock });
  await a.acquire();
  await clock.advance(6_000);
  await a.renew();
  await clock.advance(6_000);
  assert.is(readFencing(a), 1);
});

test("validity counts from before the renewal was sent", async () => {
  const { clock, store } = setUp();
  const a = createLease("a", store, {
    clock,
    choose: async (call): Promise<InjectedOutcome> => {
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

test("a holder that wakes late gives no order and then learns of its successor", async () => {
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

test("a lapsed lease that nobody took is renewed under its number", async () => {
  const { clock, store } = setUp();
  const a = createLease("a", store, { clock });
  await a.acquire();
  await clock.advance(60_000);
  assert.is(readFencing(a), 0);
  await a.renew();
  assert.is(readFencing(a), 1);
});

for (const fate of ["lost_after", "lost_before"] as const) {
  test(`an acquisition whose answer is ${fate} is settled by reading`, async () => {
    const { clock, store } = setUp();
    const fates = [fate];
    const a = createLease("a", store, {
      clock,
      choose: (call) => call === "write" ? fates.pop() ?? "pass" : "pass",
    });
    assert.is((await a.acquire()).isLeft(), true);
    assert.is(readFencing(a), 0);
    await a.acquire();
    assert.is(readFencing(a), 1);
  });
}

test("a renewal lost after its effect counts from its own sending", async () => {
  const { clock, store } = setUp();
  let fate: "pass" | "lost_after" = "pass";
  const a = createLease("a", store, {
    clock,
    choose: (call) => call === "write" ? fate : "pass",
  });
  await a.acquire();
  await clock.advance(3_000);
  fate = "lost_after";
  await a.renew();
  await clock.advance(6_950);
  assert.is(readFencing(a), 0, "unknown renewals do not count");
  fate = "pass";
  await a.renew();
  assert.is(readFencing(a), 1);
  await clock.advance(2_900);
  assert.is(readFencing(a), 1);
  await clock.advance(100);
  assert.is(readFencing(a), 0, "the settled renewal was sent at 3 s");
});

test("a release lets the next holder in at once", async () => {
  const { clock, store } = setUp();
  const a = createLease("a", store, { clock });
  const b = createLease("b", store, { clock });
  await a.acquire();
  await a.release();
  assert.is(readFencing(a), 0);
  await b.acquire();
  assert.is(readFencing(b), 2);
});

test("a release on its way is never followed by orders under the old lease", async () => {
  const { clock, store } = setUp();
  const writes: ("pass" | "lost_before")[] = ["pass", "lost_before"];
  const a = createLease("a", store, {
    clock,
    choose: (call) => call === "write" ? writes.shift() ?? "pass" : "pass",
  });
  await a.acquire();
  await a.release();
  await a.acquire();
  assert.is(readFencing(a), 0);
});

test("the fencing number grows although the object was removed", async () => {
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
  const holders = nodes.map((node, i) =>
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
  const held = holders.filter(({ lease }) => lease.checkValid().isRight());
  assert.is(held.length, 1);
  assert.ok(store.calls / 60 < 1.2, `${store.calls / 60} calls a second`);
  const stopping = held[0]?.stop();
  await clock.advance(4_000);
  await stopping;
  const next = holders.filter(({ lease }) => lease.checkValid().isRight());
  assert.is(next.length, 1, "a released lease passes on within an interval");
  for (const holder of holders) holder.dispose();
});

test.run();
