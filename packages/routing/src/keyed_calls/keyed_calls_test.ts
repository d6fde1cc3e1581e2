import * as assert from "uvu/assert";
import { test } from "uvu";
import { Buffer } from "node:buffer";
import type { Either } from "purify-ts";
import type { PlainAnswer } from "@almondcrank/endpoint/plain_service.ts";
import { FakeCluster, garageTeam } from "../testing/fake_cluster.ts";
import type { Refusal } from "../admission/refusal.ts";

type Result = Either<Refusal, PlainAnswer>;

/** Writes a result as `201 booked K` or `kind/run`. */
function formatResult(result: Result): string {
  return result.caseOf({
    Right: ({ status, body }) => `${status} ${Buffer.from(body)}`,
    Left: (refusal) => `${refusal.kind}/${refusal.run}`,
  });
}

/** Lets everything pending run for `ms` and gives the result. */
async function settle(
  world: FakeCluster,
  pending: Promise<Result>,
  ms = 2_100,
): Promise<string> {
  await world.clock.advance(ms);
  return formatResult(await pending);
}

for (const kind of ["issued", "caller-made"] as const) {
  const createKey = (world: FakeCluster): string =>
    kind === "issued" ? world.issueKey(0) : "order-17";

  test(`${kind}: a repeat on any node gives the first answer`, async () => {
    const world = await FakeCluster.open({ nodes: 3 });
    const key = createKey(world);
    for (const node of [0, 1, 2, 0]) {
      const result = await settle(world, world.book(node, key));
      assert.is(result, `201 booked ${key}`);
    }
    assert.is(world.readRuns(key), 1);
  });

  test(`${kind}: three nodes at the same moment run it once`, async () => {
    const world = await FakeCluster.open({ nodes: 3 });
    world.endpointFault = "slow";
    const key = createKey(world);
    const pending = [0, 1, 2].map((node) => world.book(node, key));
    await world.clock.advance(1_000);
    for (const result of await Promise.all(pending)) {
      assert.is(formatResult(result), `201 booked ${key}`);
    }
    assert.is(world.readRuns(key), 1);
  });

  test(`${kind}: the key with another request is refused`, async () => {
    const world = await FakeCluster.open({ nodes: 2 });
    const key = createKey(world);
    await settle(world, world.book(0, key));
    for (const node of [0, 1]) {
      const other = world.book(node, key, { body: "another bay" });
      assert.is(await settle(world, other), "bad_key/not_run");
    }
    assert.is(world.readRuns(key), 1);
  });

  test(`${kind}: the owner killed between dispatch and answer`, async () => {
    const world = await FakeCluster.open({ nodes: 3 });
    world.endpointFault = "slow";
    const key = createKey(world);
    void world.book(0, key);
    await world.clock.advance(100);
    world.kill(0);
    const repeat = await settle(world, world.book(1, key));
    assert.is(repeat, "outcome_unknown/unknown");
    world.restart(0);
    for (const node of [0, 1, 2]) {
      const later = await settle(world, world.book(node, key));
      assert.is(later, "outcome_unknown/unknown");
    }
    assert.is(world.readRuns(key), 1);
  });

  test(`${kind}: a node frozen before it sent sends nothing when it wakes`, async () => {
    const world = await FakeCluster.open({ nodes: 2 });
    const key = createKey(world);
    const first = world.book(0, key);
    world.pickNode(0).gate.set("frozen");
    await world.clock.advance(2_500);
    // Frozen before its claim it owns no key, so another node runs the call.
    const expected = kind === "issued"
      ? "outcome_unknown/unknown"
      : `201 booked ${key}`;
    assert.is(await settle(world, world.book(1, key)), expected);
    world.pickNode(0).gate.set("open");
    await settle(world, first);
    await settle(world, world.book(1, key));
    assert.is(world.readRuns(key), kind === "issued" ? 0 : 1);
  });

  test(`${kind}: an owner frozen while the endpoint ran it answers when it wakes`, async () => {
    const world = await FakeCluster.open({ nodes: 2 });
    world.endpointFault = "slow";
    const key = createKey(world);
    void world.book(0, key);
    await world.clock.advance(100);
    world.pickNode(0).gate.set("frozen");
    // The owner is suspected, so its silence is not waited out.
    const during = await settle(world, world.book(1, key), 600);
    assert.is(during, "outcome_unknown/unknown");
    world.pickNode(0).gate.set("open");
    assert.is(await settle(world, world.book(1, key)), `201 booked ${key}`);
    assert.is(world.readRuns(key), 1);
  });

  test(`${kind}: links cut each way`, async () => {
    const world = await FakeCluster.open({ nodes: 2 });
    const key = createKey(world);
    assert.is(await settle(world, world.book(0, key)), `201 booked ${key}`);
    world.cutRequests.add("node-1>node-0");
    assert.is(
      await settle(world, world.book(1, key)),
      "outcome_unknown/unknown",
    );
    world.cutRequests.clear();
    world.cutAnswers.add("node-1>node-0");
    assert.is(
      await settle(world, world.book(1, key)),
      "outcome_unknown/unknown",
    );
    world.cutAnswers.clear();
    assert.is(await settle(world, world.book(1, key)), `201 booked ${key}`);
    assert.is(world.readRuns(key), 1);
  });

  test(`${kind}: an endpoint that declined is replaced, all declining ends the key`, async () => {
    const world = await FakeCluster.open({ nodes: 2 });
    world.nextEndpointFaults.push("declined");
    const key = createKey(world);
    assert.is(await settle(world, world.book(1, key)), `201 booked ${key}`);
    world.endpointFault = "declined";
    const other = kind === "issued" ? world.issueKey(0) : "order-18";
    const refused = await settle(world, world.book(0, other));
    assert.is(refused, "endpoint_failed/not_run");
    world.endpointFault = "none";
    // The caller was told that nothing ran under the key, and nothing will.
    assert.is(await settle(world, world.book(1, other)), refused);
    assert.is(world.readRuns(other), 0);
  });

  for (const fault of ["lost_before", "lost_after", "silent"] as const) {
    test(`${kind}: an endpoint ${fault} leaves the outcome unknown`, async () => {
      const world = await FakeCluster.open({ nodes: 2 });
      world.nextEndpointFaults.push(fault);
      const key = createKey(world);
      const first = await settle(world, world.book(0, key));
      assert.is(first, "outcome_unknown/unknown");
      const repeat = await settle(world, world.book(1, key));
      assert.is(repeat, "outcome_unknown/unknown");
      assert.ok(world.readRuns(key) <= 1);
      assert.is(world.sends, 1);
    });
  }

  test(`${kind}: the owner cut off and the endpoint lost at once`, async () => {
    const world = await FakeCluster.open({ nodes: 2 });
    world.nextEndpointFaults.push("lost_after");
    world.cutAnswers.add("node-1>node-0");
    const key = createKey(world);
    if (kind === "caller-made") void world.book(0, key);
    const result = await settle(world, world.book(1, key));
    assert.is(result, "outcome_unknown/unknown");
    assert.is(world.readRuns(key), 1);
  });

  test(`${kind}: an expired key is refused and not run`, async () => {
    const world = await FakeCluster.open({
      nodes: 2,
      keyLimits: { lifetimeMs: 60_000 },
    });
    const key = createKey(world);
    if (kind === "caller-made") await settle(world, world.book(0, key));
    const runs = world.readRuns(key);
    await world.clock.advance(62_000);
    await settle(world, world.book(0, "fresh"));
    const late = await settle(world, world.book(1, key));
    assert.is(late, "bad_key/unknown");
    assert.is(world.readRuns(key), runs);
  });
}

for (const fault of ["lost_before", "lost_after"] as const) {
  test(`a claim whose answer was ${fault} is settled`, async () => {
    const world = await FakeCluster.open({ nodes: 2 });
    world.claims.nextFaults.push(fault);
    assert.is(
      await settle(world, world.book(0, "order-1")),
      "201 booked order-1",
    );
    assert.is(
      await settle(world, world.book(1, "order-1")),
      "201 booked order-1",
    );
    assert.is(world.readRuns("order-1"), 1);
  });
}

test("in an outage issued keys work and claims are refused", async () => {
  const world = await FakeCluster.open({ nodes: 2 });
  await settle(world, world.book(0, "before"));
  world.claims.fault = "out";
  const key = world.issueKey(0);
  assert.is(await settle(world, world.book(1, key)), `201 booked ${key}`);
  // Node 1 cannot know whether node 0 ran it: it must not say that it did not.
  const elsewhere = await settle(world, world.book(1, "before"));
  assert.is(elsewhere, "claims_unavailable/unknown");
  assert.is(await settle(world, world.book(0, "before")), "201 booked before");
  world.claims.fault = "none";
  assert.is(await settle(world, world.book(1, "before")), "201 booked before");
  assert.is(world.readRuns("before"), 1);
});

test("an outage after a claim took effect leaves the key usable", async () => {
  const world = await FakeCluster.open({ nodes: 2 });
  world.claims.nextFaults.push("lost_after");
  world.claims.fault = "out";
  assert.is(
    await settle(world, world.book(0, "order-2")),
    "claims_unavailable/unknown",
  );
  world.claims.fault = "none";
  assert.is(
    await settle(world, world.book(1, "order-2")),
    "201 booked order-2",
  );
  assert.is(world.readRuns("order-2"), 1);
});

test("two views of the members cannot run a key twice", async () => {
  const world = await FakeCluster.open({ nodes: 4 });
  const links = [[0, 2], [0, 3], [1, 2], [1, 3]] as const;
  for (const [a, b] of links) {
    world.cutRequests.add(`node-${a}>node-${b}`);
    world.cutRequests.add(`node-${b}>node-${a}`);
  }
  const pending = [0, 1, 2, 3].map((node) => world.book(node, "order-3"));
  await world.clock.advance(2_100);
  const results = (await Promise.all(pending)).map(formatResult);
  assert.is(world.readRuns("order-3"), 1);
  const answered = results.filter((result) => result.startsWith("201"));
  assert.ok(answered.length >= 1);
  assert.is(results.filter((result) => result.endsWith("not_run")).length, 0);
});

test("a key of another team is refused or another key", async () => {
  const world = await FakeCluster.open({ nodes: 1 });
  const key = world.issueKey(0);
  const stolen = world.book(0, key, { team: garageTeam });
  assert.is(await settle(world, stolen), "bad_key/not_run");
  await settle(world, world.book(0, "order-4", { body: "ours" }));
  const theirs = world.book(0, "order-4", { team: garageTeam, body: "theirs" });
  assert.is(await settle(world, theirs), "201 booked theirs");
});

test("a forged key is refused", async () => {
  const world = await FakeCluster.open({ nodes: 1 });
  const [prefix, payload, mac] = world.issueKey(0).split(".");
  const forged = `${prefix}.${payload}.${mac?.split("").reverse().join("")}`;
  assert.is(await settle(world, world.book(0, forged)), "bad_key/not_run");
  assert.is(await settle(world, world.book(0, "a b")), "bad_key/not_run");
  assert.is(world.sends, 0);
});

test("over the limit a known key is still answered, a new one did not run", async () => {
  const world = await FakeCluster.open({ nodes: 2 });
  await settle(world, world.book(0, "order-5"));
  world.limited.add("counter");
  for (const node of [0, 1]) {
    const repeat = await settle(world, world.book(node, "order-5"));
    assert.is(repeat, "201 booked order-5");
  }
  assert.is(
    await settle(world, world.book(1, "order-6")),
    "over_limit/not_run",
  );
  world.claims.fault = "out";
  assert.is(
    await settle(world, world.book(1, "order-6")),
    "over_limit/unknown",
  );
  assert.is(
    await settle(world, world.book(1, "order-5")),
    "over_limit/unknown",
  );
  world.claims.fault = "none";
  world.limited.clear();
  assert.is(
    await settle(world, world.book(1, "order-6")),
    "201 booked order-6",
  );
});

test("a full table refuses new keys and forgets none", async () => {
  const world = await FakeCluster.open({
    nodes: 1,
    keyLimits: { maxKeys: 4, maxTeamFraction: 0.5 },
  });
  for (const key of ["a", "b"]) await settle(world, world.book(0, key));
  assert.is(await settle(world, world.book(0, "c")), "overload/not_run");
  const other = world.book(0, "c", { team: garageTeam });
  assert.is(await settle(world, other), "201 booked c");
  assert.is(await settle(world, world.book(0, "a")), "201 booked a");
  assert.is(world.readRuns("a"), 1);
});

test("an answer that is not kept is said to have run", async () => {
  const world = await FakeCluster.open({
    nodes: 1,
    keyLimits: { maxBodyBytes: 15, maxAnswerBytes: 15 },
  });
  const long = { body: "x".repeat(30) };
  const first = await settle(world, world.book(0, "big", long));
  assert.ok(first.startsWith("201 "));
  assert.is(
    await settle(world, world.book(0, "big", long)),
    "outcome_unknown/ran",
  );
  for (const key of ["k-1", "k-2"]) await settle(world, world.book(0, key));
  assert.is(await settle(world, world.book(0, "k-1")), "outcome_unknown/ran");
  assert.is(await settle(world, world.book(0, "k-2")), "201 booked k-2");
  assert.is(world.readRuns("k-1"), 1);
});

test("a call without a key is sent at most once", async () => {
  const world = await FakeCluster.open({ nodes: 1 });
  world.endpointFault = "lost_after";
  const result = await settle(
    world,
    world.book(0, undefined, { body: "walk-in" }),
  );
  assert.is(result, "outcome_unknown/unknown");
  assert.is(world.readRuns("walk-in"), 1);
});

for (const kind of ["issued", "caller-made"] as const) {
  test(`${kind}: outcomes of a node that left are known to its peers`, async () => {
    const world = await FakeCluster.open({ nodes: 4 });
    const key = kind === "issued" ? world.issueKey(0) : "order-8";
    await settle(world, world.book(0, key));
    await world.pickNode(0).calls.close();
    world.kill(0);
    for (const node of [1, 2, 3]) {
      const repeat = await settle(world, world.book(node, key));
      assert.is(repeat, `201 booked ${key}`);
      const other = world.book(node, key, { body: "another bay" });
      assert.is(await settle(world, other), "bad_key/not_run");
    }
    world.restart(0);
    assert.is(await settle(world, world.book(0, key)), `201 booked ${key}`);
    assert.is(world.readRuns(key), 1);
  });
}

test("a node that has just started waits to hear of the owner", async () => {
  const world = await FakeCluster.open({ nodes: 2 });
  world.unknownPeers.add("node-1>node-0");
  const key = world.issueKey(0);
  const early = world.book(1, key);
  await world.clock.advance(400);
  world.unknownPeers.clear();
  assert.is(await settle(world, early, 600), `201 booked ${key}`);
  world.unknownPeers.add("node-1>node-0");
  const gone = await settle(world, world.book(1, key), 1_200);
  assert.is(gone, "outcome_unknown/unknown");
});

test("a leaving node ends what runs and runs no new key", async () => {
  const world = await FakeCluster.open({ nodes: 2 });
  const late = world.issueKey(0);
  world.endpointFault = "slow";
  const running = world.book(0, "order-7");
  await world.clock.advance(100);
  const closed = world.pickNode(0).calls.close();
  assert.is(world.pickNode(0).calls.issueKey(garageTeam).isLeft(), true);
  assert.is(await settle(world, world.book(1, late)), "draining/not_run");
  assert.is(await settle(world, running), "201 booked order-7");
  await closed;
  assert.is(world.readRuns(late), 0);
});

test.run();
