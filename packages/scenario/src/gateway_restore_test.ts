/**
 * The store comes back from an older copy, replicas announce that they leave, and
 * replicas ask for a pause: gateway nodes over real sockets, against stand-ins of
 * the platform.
 */

import { replicaFields } from "@almondcrank/platform/replica_entry.ts";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { tenantKey } from "@almondcrank/standin/platform/example_configuration.ts";
import { type GatewaySetup, testBounds } from "./testing/gateway_setup.ts";
import { runWithSetup } from "./testing/gateway_helpers.ts";

const withdrawnKey = "withdrawn-key";

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Waits until a key is answered with `status` at all nodes. */
async function waitForKey(
  setup: GatewaySetup,
  key: string,
  status: number,
): Promise<void> {
  await setup.waitUntil(async () => {
    const answers = await Promise.all(
      setup.nodes.map((_, node) => setup.call({ path: "/book/", node, key })),
    );
    return answers.every((answer) => answer.status === status);
  });
}

/**
 * Sends bookings at the same time, so that all replicas get some. All are answered;
 * while a node cannot confirm its configuration, it may refuse them as not run.
 */
async function sendBookings(
  setup: GatewaySetup,
  node = 0,
  { mayBeStale = false }: { readonly mayBeStale?: boolean } = {},
): Promise<void> {
  const answers = await Promise.all(
    Array.from({ length: 12 }, () => setup.call({ path: "/book/", node })),
  );
  const isStale = (body: string): boolean =>
    mayBeStale && body.includes('"stale_configuration"');
  const failed = answers
    .filter(({ status, body }) => status !== 200 && !isStale(body))
    .map(({ status, body }) => `${status} ${body}`);
  assert.equal(failed, []);
}

/** Counts the requests that reached a replica. */
function countArrivals(setup: GatewaySetup, id: string): number {
  return setup.findReplica(id).arrivals.length;
}

test("a key that was withdrawn stays withdrawn when the store is restored", async () => {
  await runWithSetup(2, async (setup) => {
    setup.configure({ keys: [tenantKey, withdrawnKey] });
    await waitForKey(setup, withdrawnKey, 200);
    const copy = setup.store.copy();
    setup.configure({ keys: [tenantKey] });
    await waitForKey(setup, withdrawnKey, 401);
    setup.store.restore(copy);
    for (let at = 0; at < 30; at += 1) {
      const node = at % 2;
      const answer = await setup.call({
        path: "/book/",
        node,
        key: withdrawnKey,
      });
      assert.is.not(answer.status, 200, `node ${node}, call ${at}`);
      await sleep(50);
    }
    await waitForKey(setup, tenantKey, 200);
  });
});

test("a node that starts after a restore learns the configuration from its peers", async () => {
  await runWithSetup(2, async (setup) => {
    setup.configure({ keys: [tenantKey, withdrawnKey] });
    await waitForKey(setup, withdrawnKey, 200);
    const copy = setup.store.copy();
    setup.configure({ keys: [tenantKey] });
    await waitForKey(setup, withdrawnKey, 401);
    setup.store.restore(copy);
    await sleep(1_200);
    await setup.restart(1);
    await setup.waitUntil(async () => {
      const call = { path: "/book/", node: 1, key: withdrawnKey };
      return (await setup.call(call)).status === 401;
    });
  });
});

test("a configuration written after a restore takes effect", async () => {
  await runWithSetup(2, async (setup) => {
    const copy = setup.store.copy();
    setup.configure({ keys: [tenantKey, "lost-key"] });
    await waitForKey(setup, "lost-key", 200);
    setup.store.restore(copy);
    setup.configure({ keys: [tenantKey, "next-key"] });
    await waitForKey(setup, "next-key", 200);
    await waitForKey(setup, "lost-key", 401);
  });
});

test("a replica that left gets no requests when an older copy lists it", async () => {
  await runWithSetup(2, async (setup) => {
    await setup.addReplica("booking-3", "booking");
    await setup.waitUntil(async () => {
      await sendBookings(setup);
      return countArrivals(setup, "booking-3") > 0;
    });
    const copy = setup.store.copy();
    setup.store.remove("servers", "booking-3");
    await sleep(600);
    const before = countArrivals(setup, "booking-3");
    setup.store.restore(copy);
    // A confirmation from before the restore does not outlast this time.
    const staleUntil = performance.now() + testBounds.revocationMs;
    for (let at = 0; performance.now() < staleUntil; at += 1) {
      await sendBookings(setup, at % 2, { mayBeStale: true });
      await sleep(80);
    }
    for (const node of [0, 1]) await sendBookings(setup, node);
    assert.is(countArrivals(setup, "booking-3"), before);
  });
});

test("a replica that announces its leaving gets no further requests", async () => {
  await runWithSetup(2, async (setup) => {
    const leaving = setup.findReplica("booking-1");
    leaving.isLeaving = true;
    const before = leaving.arrivals.length;
    await setup.waitUntil(async () => {
      await sendBookings(setup);
      return leaving.arrivals.length > before;
    });
    const last = leaving.arrivals.length;
    // Its registration still says that it is ready, and is written once more.
    setup.registerReplica("booking-1", "booking", "ready", {
      [replicaFields.sequenceNumber]: 2,
    });
    await sleep(500);
    // The second node heard of it from the first.
    for (let at = 0; at < 6; at += 1) await sendBookings(setup, at % 2);
    assert.is(leaving.arrivals.length, last);
  });
});

test("a replica that asks for a pause gets nothing until it is over", async () => {
  await runWithSetup(1, async (setup) => {
    const paused = setup.findReplica("booking-1");
    paused.queuedFaults.push({ kind: "pause", seconds: 1.2 });
    await setup.waitUntil(async () => {
      const calls = Array.from(
        { length: 6 },
        () => setup.call({ path: "/book/" }),
      );
      await Promise.all(calls);
      return paused.queuedFaults.length === 0;
    });
    const pausedAt = performance.now();
    const before = paused.arrivals.length;
    while (performance.now() - pausedAt < 1_000) await sendBookings(setup);
    assert.is(paused.arrivals.length, before);
    await sleep(300);
    setup.registerReplica("booking-2", "booking", "draining");
    await sleep(300);
    await sendBookings(setup);
    assert.is(paused.arrivals.length, before + 12);
  });
});

test("requests are refused at once while all replicas ask for a pause", async () => {
  await runWithSetup(1, async (setup) => {
    const ids = ["booking-1", "booking-2"];
    const before = ids.map((id) => countArrivals(setup, id));
    for (const id of ids) {
      setup.findReplica(id).queuedFaults.push({ kind: "pause", seconds: 2 });
    }
    const [first, second] = [
      await setup.call({ path: "/book/" }),
      await setup.call({ path: "/book/" }),
    ];
    assert.equal([first.status, second.status], [503, 503]);
    assert.ok(second.totalMs < 300, `${second.totalMs} ms`);
    const retryAfter = Number(second.headers["retry-after"]);
    assert.ok(retryAfter > 1.5 && retryAfter < 2.5, `${retryAfter} s`);
    const after = ids.map((id) => countArrivals(setup, id));
    assert.equal(after, before.map((count) => count + 1));
  });
});

test.run();
