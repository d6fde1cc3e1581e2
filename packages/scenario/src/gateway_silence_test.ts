/**
 * Requests whose replica falls silent for about a second and then goes on, over
 * real sockets and against stand-ins of the platform. Such a replica is sound, so
 * the caller must get the whole answer, whether or not another one can take over.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import type { RouteAnswer } from "@almondcrank/load/route_client.ts";
import { exampleHostname } from "@almondcrank/standin/platform/example_configuration.ts";
import {
  countRuns,
  formatEvents,
  runWithSetup,
} from "./testing/gateway_helpers.ts";
import type { ReplicaFault } from "@almondcrank/standin/platform/replica_fault.ts";
import type { ReplicaStandin } from "@almondcrank/standin/platform/replica_standin.ts";
import type { GatewaySetup } from "./testing/gateway_setup.ts";

const silence = { kind: "fall_silent", events: 2, ms: 1_300 } as const;

/** Calls a stream whose replica falls silent; the other replica has `other`. */
async function callSilentStream(
  setup: GatewaySetup,
  other: ReplicaFault,
): Promise<void> {
  const id = "silent";
  const replicas = ["model-1", "model-2"].map((name) =>
    setup.findReplica(name)
  );
  for (const replica of replicas) replica.fault = silence;
  const calling = setup.call({ path: "/answer/stream", id });
  await setup.waitUntil(() => countRuns(setup, id) === 1);
  for (const replica of replicas) replica.fault = other;
  const answer = await calling;
  assert.is(answer.body, formatEvents(1, 5));
  assert.is(answer.isComplete, true);
}

test("a stream whose replica falls silent is not cut when the others are full", async () => {
  await runWithSetup(1, async (setup) => {
    await callSilentStream(setup, { kind: "decline" });
  });
});

test("a stream whose replica falls silent is not cut when the others fall silent too", async () => {
  await runWithSetup(1, async (setup) => {
    await callSilentStream(setup, { ...silence, events: 0 });
  });
});

test("a stream whose replica falls silent is not cut when no retry is left in the budget", async () => {
  await runWithSetup(1, async (setup) => {
    const second = setup.findReplica("model-2");
    const first = setup.findReplica("model-1");
    first.fault = { kind: "break", events: 2 };
    second.fault = { kind: "break", events: 2 };
    let spent = 0;
    // A round in which all ran, and none again, shows that the budget is spent. On a
    // slow machine streams may be refused for load, which shows nothing.
    for (let round = 0, isSpent = false; !isSpent; round += 1) {
      const ids = Array.from({ length: 8 }, (_, at) => `spend-${round}-${at}`);
      await Promise.all(
        ids.map((id) => setup.call({ path: "/answer/stream", id })),
      );
      const runs = ids.map((id) => countRuns(setup, id));
      spent += runs.filter((count) => count === 2).length;
      isSpent = runs.every((count) => count === 1);
    }
    assert.ok(spent > 0);
    await callSilentStream(setup, { kind: "none" });
  });
});

/** A stream whose replica is silent for good, and the replicas of its service. */
interface SilentStream {
  readonly calling: Promise<RouteAnswer>;
  readonly runner: ReplicaStandin;
  readonly other: ReplicaStandin;
}

/** Begins the stream `id`, whose replica sends two events and nothing more. */
async function beginSilentStream(
  setup: GatewaySetup,
  id: string,
): Promise<SilentStream> {
  const replicas = ["model-1", "model-2"].map((name) =>
    setup.findReplica(name)
  );
  for (const replica of replicas) replica.fault = { ...silence, ms: 60_000 };
  const calling = setup.call({ path: "/answer/stream", id });
  await setup.waitUntil(() => countRuns(setup, id) === 1);
  const runner = replicas.find(({ runs }) => runs.some((run) => run.id === id));
  const other = replicas.find((replica) => replica !== runner);
  if (runner === undefined || other === undefined) {
    throw new Error("the stream has no replica");
  }
  return { calling, runner, other };
}

/** Waits until the request `id` has reached a replica. */
async function waitForArrival(
  setup: GatewaySetup,
  { arrivals }: ReplicaStandin,
  id: string,
): Promise<void> {
  await setup.waitUntil(() => arrivals.some((arrival) => arrival.id === id));
}

test("a stream whose silent replica leaves goes on at the replica that was asked before", async () => {
  await runWithSetup(1, async (setup) => {
    const id = "leaves-silently";
    const { calling, runner, other } = await beginSilentStream(setup, id);
    other.fault = { ...silence, events: 0 };
    await waitForArrival(setup, other, id);
    runner.pauseFor(60_000);
    setup.registerReplica(runner.id, "models", "draining", {
      leaves_ms: 1_200,
    });
    setTimeout(() => runner.close(), 1_200);
    const answer = await calling;
    assert.is(answer.body, formatEvents(1, 5));
    assert.is(answer.isComplete, true);
  });
});

test("a stream goes on elsewhere when its replica stays silent", async () => {
  await runWithSetup(1, async (setup) => {
    const first = setup.findReplica("model-1");
    first.fault = { ...silence, ms: 60_000 };
    for (let at = 0; at < 8; at += 1) {
      const answer = await setup.call({
        path: "/answer/stream",
        id: `stays-${at}`,
        deadlineMs: 2_500,
      });
      assert.is(answer.body, formatEvents(1, 5));
      assert.is(answer.isComplete, true);
    }
  });
});

test("a safe call whose replica falls silent is answered when the other replica is full", async () => {
  await runWithSetup(1, async (setup) => {
    const id = "silent-call";
    const replicas = ["booking-1", "booking-2"].map((name) =>
      setup.findReplica(name)
    );
    for (const replica of replicas) replica.fault = { ...silence, ms: 900 };
    const calling = setup.call({ path: "/lookup/x", id });
    await setup.waitUntil(() => countRuns(setup, id) === 1);
    for (const replica of replicas) replica.fault = { kind: "decline" };
    const answer = await calling;
    assert.is(answer.status, 200);
    assert.is(answer.body, `answer to ${id}`);
  });
});

test("a safe call whose replica falls silent is answered when no retry is left in the budget", async () => {
  await runWithSetup(1, async (setup) => {
    const replicas = ["booking-1", "booking-2"].map((name) =>
      setup.findReplica(name)
    );
    for (const replica of replicas) replica.fault = { kind: "lose_answer" };
    // A round without a retry shows that the budget is spent.
    for (let round = 0, retries = 1; retries > 0; round += 1) {
      const ids = Array.from({ length: 8 }, (_, at) => `spend-${round}-${at}`);
      await Promise.all(ids.map((id) => setup.call({ path: "/lookup/x", id })));
      retries = ids.filter((id) => countRuns(setup, id) === 2).length;
    }
    for (const replica of replicas) replica.fault = { ...silence, ms: 900 };
    const answer = await setup.call({ path: "/lookup/x", id: "silent-call" });
    assert.is(answer.status, 200);
    assert.is(answer.body, "answer to silent-call");
  });
});

test("a safe call of a route without an objective is sent once while its replica is silent", async () => {
  await runWithSetup(1, async (setup) => {
    setup.configure({
      routes: [{
        hostname: exampleHostname,
        "path-prefix": "/calm/",
        "route-kind": "safe",
        service: "booking",
        "timeout-ms": 3_000,
        "max-attempts": 2,
        public: true,
      }],
    });
    await setup.waitUntil(async () =>
      (await setup.call({ path: "/calm/x" })).status === 200
    );
    for (const name of ["booking-1", "booking-2"]) {
      setup.findReplica(name).fault = { ...silence, ms: 300 };
    }
    const answer = await setup.call({ path: "/calm/x", id: "calm" });
    assert.is(answer.status, 200);
    assert.is(countRuns(setup, "calm"), 1);
  });
});

test.run();
