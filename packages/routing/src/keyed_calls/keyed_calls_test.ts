import * as assert from "uvu/assert";
import { test } from "uvu";
import { Buffer } from "node:buffer";
import type { Either } from "purify-ts";
import type { PlainAnswer } from "@almondcrank/endpoint/plain_service.ts";
import { FakeCluster, garageTeam } from "../testing/fake_cluster.ts";
import type { Refusal } from "../admission/refusal.ts";

type Result = Either<Refusal, PlainAnswer>;

/** Formats a result as `201 booked K` or `kind/run`. */
function formatResult(result: Result): string {
  return result.caseOf({
    Right: ({ status, body }) => `${status} ${Buffer.from(body)}`,
    Left: (refusal) => `${refusal.kind}/${refusal.run}`,
  });
}

/** Advances the clock by `ms` milliseconds and formats the pending result. */
async function wait(
  cluster: FakeCluster,
  pending: Promise<Result>,
  ms = 2_100,
): Promise<string> {
  await cluster.clock.advance(ms);
  return formatResult(await pending);
}

for (const kind of ["issued", "caller-made"] as const) {
  const createKey = (cluster: FakeCluster): string =>
    kind === "issued" ? cluster.issueKey(0) : "order-17";

  test(`${kind}: a repeat on any node gives the first answer`, async () => {
    const cluster = await FakeCluster.open({ nodes: 3 });
    const key = createKey(cluster);
    for (const node of [0, 1, 2, 0]) {
      const result = await wait(cluster, cluster.book(node, key));
      assert.is(result, `201 booked ${key}`);
    }
    assert.is(cluster.readRuns(key), 1);
  });

  test(`${kind}: concurrent calls on three nodes run once`, async () => {
    const cluster = await FakeCluster.open({ nodes: 3 });
    cluster.endpointFault = "slow";
    const key = createKey(cluster);
    const pending = [0, 1, 2].map((node) => cluster.book(node, key));
    await cluster.clock.advance(1_000);
    for (const result of await Promise.all(pending)) {
      assert.is(formatResult(result), `201 booked ${key}`);
    }
    assert.is(cluster.readRuns(key), 1);
  });

  test(`${kind}: the key with another request is refused`, async () => {
    const cluster = await FakeCluster.open({ nodes: 2 });
    const key = createKey(cluster);
    await wait(cluster, cluster.book(0, key));
    for (const node of [0, 1]) {
      const other = cluster.book(node, key, { body: "another bay" });
      assert.is(await wait(cluster, other), "bad_key/not_run");
    }
    assert.is(cluster.readRuns(key), 1);
  });

  test(`${kind}: an owner killed between send and answer leaves the outcome unknown`, async () => {
    const cluster = await FakeCluster.open({ nodes: 3 });
    cluster.endpointFault = "slow";
    const key = createKey(cluster);
    void cluster.book(0, key);
    await cluster.clock.advance(100);
    cluster.kill(0);
    const repeat = await wait(cluster, cluster.book(1, key));
    assert.is(repeat, "outcome_unknown/unknown");
    cluster.restart(0);
    for (const node of [0, 1, 2]) {
      const later = await wait(cluster, cluster.book(node, key));
      assert.is(later, "outcome_unknown/unknown");
    }
    assert.is(cluster.readRuns(key), 1);
  });

  test(`${kind}: a node frozen before it sent sends nothing when it wakes`, async () => {
    const cluster = await FakeCluster.open({ nodes: 2 });
    const key = createKey(cluster);
    const first = cluster.book(0, key);
    cluster.pickNode(0).gate.set("frozen");
    await cluster.clock.advance(2_500);
    // Frozen before its claim it owns no key, so another node runs the call.
    const expected = kind === "issued"
      ? "outcome_unknown/unknown"
      : `201 booked ${key}`;
    assert.is(await wait(cluster, cluster.book(1, key)), expected);
    cluster.pickNode(0).gate.set("open");
    await wait(cluster, first);
    await wait(cluster, cluster.book(1, key));
    assert.is(cluster.readRuns(key), kind === "issued" ? 0 : 1);
  });

  test(`${kind}: an owner frozen during the call answers after it wakes`, async () => {
    const cluster = await FakeCluster.open({ nodes: 2 });
    cluster.endpointFault = "slow";
    const key = createKey(cluster);
    void cluster.book(0, key);
    await cluster.clock.advance(100);
    cluster.pickNode(0).gate.set("frozen");
    // The owner is suspected, so the wait for it ends before the deadline.
    const during = await wait(cluster, cluster.book(1, key), 600);
    assert.is(during, "outcome_unknown/unknown");
    cluster.pickNode(0).gate.set("open");
    assert.is(await wait(cluster, cluster.book(1, key)), `201 booked ${key}`);
    assert.is(cluster.readRuns(key), 1);
  });

  test(`${kind}: links cut in either direction leave the outcome unknown`, async () => {
    const cluster = await FakeCluster.open({ nodes: 2 });
    const key = createKey(cluster);
    assert.is(await wait(cluster, cluster.book(0, key)), `201 booked ${key}`);
    cluster.cutRequests.add("node-1>node-0");
    assert.is(
      await wait(cluster, cluster.book(1, key)),
      "outcome_unknown/unknown",
    );
    cluster.cutRequests.clear();
    cluster.cutAnswers.add("node-1>node-0");
    assert.is(
      await wait(cluster, cluster.book(1, key)),
      "outcome_unknown/unknown",
    );
    cluster.cutAnswers.clear();
    assert.is(await wait(cluster, cluster.book(1, key)), `201 booked ${key}`);
    assert.is(cluster.readRuns(key), 1);
  });

  test(`${kind}: a declined call goes to another endpoint until all decline`, async () => {
    const cluster = await FakeCluster.open({ nodes: 2 });
    cluster.nextEndpointFaults.push("declined");
    const key = createKey(cluster);
    assert.is(await wait(cluster, cluster.book(1, key)), `201 booked ${key}`);
    cluster.endpointFault = "declined";
    const other = kind === "issued" ? cluster.issueKey(0) : "order-18";
    const refused = await wait(cluster, cluster.book(0, other));
    assert.is(refused, "endpoint_failed/not_run");
    cluster.endpointFault = "none";
    // The caller was told that the key's call did not run, so it never may.
    assert.is(await wait(cluster, cluster.book(1, other)), refused);
    assert.is(cluster.readRuns(other), 0);
  });

  for (const fault of ["lost_before", "lost_after", "silent"] as const) {
    test(`${kind}: an endpoint ${fault} leaves the outcome unknown`, async () => {
      const cluster = await FakeCluster.open({ nodes: 2 });
      cluster.nextEndpointFaults.push(fault);
      const key = createKey(cluster);
      const first = await wait(cluster, cluster.book(0, key));
      assert.is(first, "outcome_unknown/unknown");
      const repeat = await wait(cluster, cluster.book(1, key));
      assert.is(repeat, "outcome_unknown/unknown");
      assert.ok(cluster.readRuns(key) <= 1);
      assert.is(cluster.sends, 1);
    });
  }

  test(`${kind}: the owner and the endpoint lost at the same time`, async () => {
    const cluster = await FakeCluster.open({ nodes: 2 });
    cluster.nextEndpointFaults.push("lost_after");
    cluster.cutAnswers.add("node-1>node-0");
    const key = createKey(cluster);
    if (kind === "caller-made") void cluster.book(0, key);
    const result = await wait(cluster, cluster.book(1, key));
    assert.is(result, "outcome_unknown/unknown");
    assert.is(cluster.readRuns(key), 1);
  });

  test(`${kind}: an expired key is refused and not run`, async () => {
    const cluster = await FakeCluster.open({
      nodes: 2,
      keyLimits: { lifetimeMs: 60_000 },
    });
    const key = createKey(cluster);
    if (kind === "caller-made") await wait(cluster, cluster.book(0, key));
    const runs = cluster.readRuns(key);
    await cluster.clock.advance(62_000);
    await wait(cluster, cluster.book(0, "fresh"));
    const late = await wait(cluster, cluster.book(1, key));
    assert.is(late, "bad_key/unknown");
    assert.is(cluster.readRuns(key), runs);
  });
}

for (const fault of ["lost_before", "lost_after"] as const) {
  test(`a claim whose write was ${fault} binds the key after a retry`, async () => {
    const cluster = await FakeCluster.open({ nodes: 2 });
    cluster.claims.nextFaults.push(fault);
    assert.is(
      await wait(cluster, cluster.book(0, "order-1")),
      "201 booked order-1",
    );
    assert.is(
      await wait(cluster, cluster.book(1, "order-1")),
      "201 booked order-1",
    );
    assert.is(cluster.readRuns("order-1"), 1);
  });
}

test("in an object store outage issued keys work and claims are refused", async () => {
  const cluster = await FakeCluster.open({ nodes: 2 });
  await wait(cluster, cluster.book(0, "before"));
  cluster.claims.fault = "out";
  const key = cluster.issueKey(0);
  assert.is(await wait(cluster, cluster.book(1, key)), `201 booked ${key}`);
  // Node 1 cannot know whether node 0 ran it: it must not say that it did not.
  const elsewhere = await wait(cluster, cluster.book(1, "before"));
  assert.is(elsewhere, "claims_unavailable/unknown");
  assert.is(
    await wait(cluster, cluster.book(0, "before")),
    "201 booked before",
  );
  cluster.claims.fault = "none";
  assert.is(
    await wait(cluster, cluster.book(1, "before")),
    "201 booked before",
  );
  assert.is(cluster.readRuns("before"), 1);
});

test("an outage after a claim took effect leaves the key usable", async () => {
  const cluster = await FakeCluster.open({ nodes: 2 });
  cluster.claims.nextFaults.push("lost_after");
  cluster.claims.fault = "out";
  assert.is(
    await wait(cluster, cluster.book(0, "order-2")),
    "claims_unavailable/unknown",
  );
  cluster.claims.fault = "none";
  assert.is(
    await wait(cluster, cluster.book(1, "order-2")),
    "201 booked order-2",
  );
  assert.is(cluster.readRuns("order-2"), 1);
});

test("nodes with different membership views run a key once", async () => {
  const cluster = await FakeCluster.open({ nodes: 4 });
  const links = [[0, 2], [0, 3], [1, 2], [1, 3]] as const;
  for (const [a, b] of links) {
    cluster.cutRequests.add(`node-${a}>node-${b}`);
    cluster.cutRequests.add(`node-${b}>node-${a}`);
  }
  const pending = [0, 1, 2, 3].map((node) => cluster.book(node, "order-3"));
  await cluster.clock.advance(2_100);
  const results = (await Promise.all(pending)).map(formatResult);
  assert.is(cluster.readRuns("order-3"), 1);
  const answered = results.filter((result) => result.startsWith("201"));
  assert.ok(answered.length >= 1);
  assert.is(results.filter((result) => result.endsWith("not_run")).length, 0);
});

test("another team's issued key is refused, its caller-made key is separate", async () => {
  const cluster = await FakeCluster.open({ nodes: 1 });
  const key = cluster.issueKey(0);
  const stolen = cluster.book(0, key, { team: garageTeam });
  assert.is(await wait(cluster, stolen), "bad_key/not_run");
  await wait(cluster, cluster.book(0, "order-4", { body: "ours" }));
  const theirs = cluster.book(0, "order-4", {
    team: garageTeam,
    body: "theirs",
  });
  assert.is(await wait(cluster, theirs), "201 booked theirs");
});

test("a forged key is refused", async () => {
  const cluster = await FakeCluster.open({ nodes: 1 });
  const [prefix, payload, mac] = cluster.issueKey(0).split(".");
  const forged = `${prefix}.${payload}.${mac?.split("").reverse().join("")}`;
  assert.is(await wait(cluster, cluster.book(0, forged)), "bad_key/not_run");
  assert.is(await wait(cluster, cluster.book(0, "a b")), "bad_key/not_run");
  assert.is(cluster.sends, 0);
});

test("over the limit a known key is answered and a new one is not run", async () => {
  const cluster = await FakeCluster.open({ nodes: 2 });
  await wait(cluster, cluster.book(0, "order-5"));
  cluster.limited.add("counter");
  for (const node of [0, 1]) {
    const repeat = await wait(cluster, cluster.book(node, "order-5"));
    assert.is(repeat, "201 booked order-5");
  }
  assert.is(
    await wait(cluster, cluster.book(1, "order-6")),
    "over_limit/not_run",
  );
  cluster.claims.fault = "out";
  assert.is(
    await wait(cluster, cluster.book(1, "order-6")),
    "over_limit/unknown",
  );
  assert.is(
    await wait(cluster, cluster.book(1, "order-5")),
    "over_limit/unknown",
  );
  cluster.claims.fault = "none";
  cluster.limited.clear();
  assert.is(
    await wait(cluster, cluster.book(1, "order-6")),
    "201 booked order-6",
  );
});

test("a full table refuses new keys and evicts none", async () => {
  const cluster = await FakeCluster.open({
    nodes: 1,
    keyLimits: { maxKeys: 4, maxTeamFraction: 0.5 },
  });
  for (const key of ["a", "b"]) await wait(cluster, cluster.book(0, key));
  assert.is(await wait(cluster, cluster.book(0, "c")), "overload/not_run");
  const other = cluster.book(0, "c", { team: garageTeam });
  assert.is(await wait(cluster, other), "201 booked c");
  assert.is(await wait(cluster, cluster.book(0, "a")), "201 booked a");
  assert.is(cluster.readRuns("a"), 1);
});

test("a call whose answer is not kept is reported as run", async () => {
  const cluster = await FakeCluster.open({
    nodes: 1,
    keyLimits: { maxBodyBytes: 15, maxAnswerBytes: 15 },
  });
  const long = { body: "x".repeat(30) };
  const first = await wait(cluster, cluster.book(0, "big", long));
  assert.ok(first.startsWith("201 "));
  assert.is(
    await wait(cluster, cluster.book(0, "big", long)),
    "outcome_unknown/ran",
  );
  for (const key of ["k-1", "k-2"]) await wait(cluster, cluster.book(0, key));
  assert.is(await wait(cluster, cluster.book(0, "k-1")), "outcome_unknown/ran");
  assert.is(await wait(cluster, cluster.book(0, "k-2")), "201 booked k-2");
  assert.is(cluster.readRuns("k-1"), 1);
});

test("a call without a key is sent at most once", async () => {
  const cluster = await FakeCluster.open({ nodes: 1 });
  cluster.endpointFault = "lost_after";
  const result = await wait(
    cluster,
    cluster.book(0, undefined, { body: "walk-in" }),
  );
  assert.is(result, "outcome_unknown/unknown");
  assert.is(cluster.readRuns("walk-in"), 1);
});

for (const kind of ["issued", "caller-made"] as const) {
  test(`${kind}: outcomes of a node that left are known to its peers`, async () => {
    const cluster = await FakeCluster.open({ nodes: 4 });
    const key = kind === "issued" ? cluster.issueKey(0) : "order-8";
    await wait(cluster, cluster.book(0, key));
    await cluster.pickNode(0).calls.close();
    cluster.kill(0);
    for (const node of [1, 2, 3]) {
      const repeat = await wait(cluster, cluster.book(node, key));
      assert.is(repeat, `201 booked ${key}`);
      const other = cluster.book(node, key, { body: "another bay" });
      assert.is(await wait(cluster, other), "bad_key/not_run");
    }
    cluster.restart(0);
    assert.is(await wait(cluster, cluster.book(0, key)), `201 booked ${key}`);
    assert.is(cluster.readRuns(key), 1);
  });
}

test("a node that has just started waits until it knows the owner", async () => {
  const cluster = await FakeCluster.open({ nodes: 2 });
  cluster.unknownPeers.add("node-1>node-0");
  const key = cluster.issueKey(0);
  const early = cluster.book(1, key);
  await cluster.clock.advance(400);
  cluster.unknownPeers.clear();
  assert.is(await wait(cluster, early, 600), `201 booked ${key}`);
  cluster.unknownPeers.add("node-1>node-0");
  const gone = await wait(cluster, cluster.book(1, key), 1_200);
  assert.is(gone, "outcome_unknown/unknown");
});

test("a leaving node finishes running calls and begins no new ones", async () => {
  const cluster = await FakeCluster.open({ nodes: 2 });
  const late = cluster.issueKey(0);
  cluster.endpointFault = "slow";
  const running = cluster.book(0, "order-7");
  await cluster.clock.advance(100);
  const closed = cluster.pickNode(0).calls.close();
  assert.is(cluster.pickNode(0).calls.issueKey(garageTeam).isLeft(), true);
  assert.is(await wait(cluster, cluster.book(1, late)), "draining/not_run");
  assert.is(await wait(cluster, running), "201 booked order-7");
  await closed;
  assert.is(cluster.readRuns(late), 0);
});

test.run();
