/**
 * The routes interface over real sockets, against stand-ins of the platform.
 */

import { Agent } from "node:http";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { GatewaySetup, tenantKey } from "./testing/gateway_setup.ts";

/** Text of the events `from` to `to`. */
function formatEvents(from: number, to: number): string {
  let text = "";
  for (let id = from; id <= to; id += 1) {
    text += `id: ${id}\ndata: token ${id}\n\n`;
  }
  return text;
}

async function withSetup(
  nodes: number,
  run: (setup: GatewaySetup) => Promise<void>,
): Promise<void> {
  const setup = await GatewaySetup.open(nodes);
  try {
    await run(setup);
  } finally {
    await setup.close();
  }
}

/** Runs of one request at all replicas. */
function countRuns(setup: GatewaySetup, id: string): number {
  return [...setup.replicas.values()]
    .flatMap((replica) => replica.runs)
    .filter((run) => run.id === id).length;
}

test("a request reaches a replica unchanged and its answer comes back", async () => {
  await withSetup(1, async (setup) => {
    const answer = await setup.call({
      path: "/book/slot?day=2",
      id: "b1",
      body: "slot 7",
      headers: { "X-Note": "kept", "X-Tenant": "forged", "X-Hold": "forged" },
    });
    assert.is(answer.status, 200);
    assert.is(answer.body, "answer to b1");
    assert.match(String(answer.headers["x-server-seal"]), /seal-of-booking/);
    const run = [...setup.replicas.values()]
      .flatMap((replica) => replica.runs).find(({ id }) => id === "b1");
    assert.is(run?.path, "/book/slot?day=2");
    assert.is(run?.body, "slot 7");
    assert.is(run?.headers["x-note"], "kept");
    assert.is(run?.headers["x-tenant"], "garages");
    assert.is(run?.headers["x-hold"], undefined);
    assert.is(run?.headers["authorization"], undefined);
    assert.ok(Number(run?.headers["x-deadline-ms"]) <= 3_000);
  });
});

test("unknown routes and keys are refused, and nothing runs", async () => {
  await withSetup(1, async (setup) => {
    const noRoute = await setup.call({ path: "/nowhere/", id: "n1" });
    const noKey = await setup.call({ path: "/book/", id: "n2", key: "wrong" });
    const none = await setup.call({ path: "/book/", id: "n3", key: undefined });
    const large = await setup.call({
      path: "/book/",
      id: "n4",
      body: "x".repeat(70_000),
    });
    assert.equal(
      [noRoute.status, noKey.status, none.status, large.status],
      [404, 401, 401, 413],
    );
    for (const id of ["n1", "n2", "n3", "n4"]) {
      assert.is(countRuns(setup, id), 0);
    }
  });
});

test("a booking whose answer is lost is not run again and not called refused", async () => {
  await withSetup(1, async (setup) => {
    for (const id of ["booking-1", "booking-2"]) {
      setup.replica(id).fault = { kind: "lose_answer" };
    }
    const answer = await setup.call({ path: "/book/", id: "lost" });
    assert.is(answer.status, 502);
    assert.is(countRuns(setup, "lost"), 1);
  });
});

test("a booking that every replica declines is refused with a time", async () => {
  await withSetup(1, async (setup) => {
    for (const id of ["booking-1", "booking-2"]) {
      setup.replica(id).fault = { kind: "decline" };
    }
    const answer = await setup.call({ path: "/book/", id: "full" });
    assert.is(answer.status, 503);
    assert.ok(Number(answer.headers["retry-after"]) > 0);
    assert.is(countRuns(setup, "full"), 0);
  });
});

test("a lookup goes to another replica after a lost, foreign or unsigned answer", async () => {
  await withSetup(1, async (setup) => {
    for (const kind of ["lose_answer", "foreign", "unsigned"] as const) {
      const first = { kind };
      setup.replica("booking-1").faults.push(first);
      setup.replica("booking-2").faults.push(first);
      const id = `lookup-${kind}`;
      const answers = [
        await setup.call({ path: "/lookup/", id }),
        await setup.call({ path: "/lookup/", id: `${id}-again` }),
      ];
      // The two faults meet one request, or one request each.
      const good = answers.filter(({ status }) => status === 200);
      assert.ok(good.length >= 1, kind);
      for (const answer of good) assert.match(answer.body, /answer to lookup/);
      setup.replica("booking-1").faults.length = 0;
      setup.replica("booking-2").faults.length = 0;
    }
  });
});

test("an answer without a length is whole only if its connection ended properly", async () => {
  await withSetup(1, async (setup) => {
    const replicas = [...setup.replicas.values()];
    for (const path of ["/book/", "/once/stream"]) {
      for (const replica of replicas) replica.fault = { kind: "unframed" };
      const good = await setup.call({ path });
      assert.is(good.status, 200);
      assert.is(good.isWhole, true);
      assert.is(good.body, formatEvents(1, 2));
      for (const afterMs of [0, 0, 0, 5]) {
        for (const replica of replicas) {
          replica.fault = { kind: "reset_unframed", afterMs };
        }
        const broken = await setup.call({ path });
        const isTakenForWhole = broken.isWhole && broken.status === 200;
        assert.is(isTakenForWhole, false, `${path} reset after ${afterMs} ms`);
      }
    }
  });
});

test("a stray answer on a kept connection reaches nobody", async () => {
  await withSetup(1, async (setup) => {
    for (const id of ["booking-1", "booking-2"]) {
      setup.replica(id).fault = { kind: "extra" };
    }
    for (let at = 0; at < 6; at += 1) {
      const answer = await setup.call({ path: "/book/", id: `extra-${at}` });
      if (answer.status === 200) {
        assert.is(answer.body, `answer to extra-${at}`);
      }
      assert.not.match(answer.body, /stray/);
      assert.is(countRuns(setup, `extra-${at}`) <= 1, true);
    }
  });
});

test("a stream that breaks in an event goes on whole at another replica", async () => {
  await withSetup(1, async (setup) => {
    for (const id of ["model-1", "model-2"]) {
      setup.replica(id).faults.push({ kind: "break", events: 2 });
    }
    setup.replica("model-2").faults.length = 0;
    setup.replica("model-1").faults.length = 0;
    setup.replica("model-1").fault = { kind: "break", events: 2 };
    let broken = 0;
    for (let at = 0; at < 6; at += 1) {
      const id = `stream-${at}`;
      const answer = await setup.call({ path: "/answer/stream", id });
      assert.is(answer.status, 200);
      assert.is(answer.isWhole, true);
      assert.is(answer.body, formatEvents(1, 5));
      if (countRuns(setup, id) === 2) broken += 1;
    }
    assert.ok(broken >= 1);
  });
});

test("a stream that must not be resumed breaks off and is not run again", async () => {
  await withSetup(1, async (setup) => {
    for (const id of ["model-1", "model-2"]) {
      setup.replica(id).fault = { kind: "break", events: 2 };
    }
    const answer = await setup.call({ path: "/once/stream", id: "once" });
    assert.is(answer.isWhole, false);
    assert.is(answer.body, formatEvents(1, 2));
    assert.is(countRuns(setup, "once"), 1);
  });
});

test("a silent replica ends no answer that cannot go on elsewhere", async () => {
  await withSetup(1, async (setup) => {
    setup.configure({ timeoutMs: 2_500 });
    await new Promise((resolve) => setTimeout(resolve, 300));
    for (const id of ["model-1", "model-2"]) {
      setup.replica(id).fault = { kind: "hang" };
    }
    const answer = await setup.call({ path: "/answer/stream", id: "silent" });
    assert.is(countRuns(setup, "silent"), 2);
    assert.is(answer.status, 504);
    assert.ok(answer.ms > 2_300, `ended after ${answer.ms} ms`);
  });
});

test("a run moves with its memory off a replica that leaves", async () => {
  await withSetup(1, async (setup) => {
    await setup.addReplica("slow-1", "models", { events: 60, eventMs: 20 });
    setup.register("model-1", "models", "draining");
    setup.register("model-2", "models", "draining");
    await setup.waitUntil(async () => {
      const answer = await setup.call({
        path: "/once/stream",
        leaveAfterMs: 100,
      });
      void answer;
      return setup.replica("slow-1").runs.length > 0;
    });
    const streaming = setup.call({ path: "/once/stream", id: "moved" });
    await setup.waitUntil(() => countRuns(setup, "moved") === 1);
    await setup.addReplica("slow-2", "models", { events: 60, eventMs: 20 });
    await new Promise((resolve) => setTimeout(resolve, 200));
    setup.register("slow-1", "models", "draining", { leaves_ms: 900 });
    const answer = await streaming;
    assert.is(answer.isWhole, true);
    assert.is(answer.body, formatEvents(1, 60));
    assert.is(answer.headers["x-server-seal"], "seal-of-slow-1");
    const second = setup.replica("slow-2").runs
      .find(({ id }) => id === "moved");
    assert.is(second?.isMoved, true);
  });
});

test("a replica stops working soon after its caller has left", async () => {
  await withSetup(1, async (setup) => {
    await setup.addReplica("slow-1", "models", { events: 500, eventMs: 20 });
    setup.store.remove("servers", "model-1");
    setup.store.remove("servers", "model-2");
    await new Promise((resolve) => setTimeout(resolve, 300));
    await setup.call({ path: "/answer/stream", id: "gone", leaveAfterMs: 200 });
    const run = setup.replica("slow-1").runs.find(({ id }) => id === "gone");
    assert.ok(run !== undefined);
    await setup.waitUntil(() => run?.isOver === true);
    assert.is(countRuns(setup, "gone"), 1);
  });
});

test("a request gets its final answer at its route's timeout", async () => {
  await withSetup(1, async (setup) => {
    setup.configure({ timeoutMs: 400 });
    await new Promise((resolve) => setTimeout(resolve, 300));
    for (const replica of setup.replicas.values()) {
      replica.fault = { kind: "hang" };
    }
    const answers = await Promise.all([
      setup.call({ path: "/book/" }),
      setup.call({ path: "/answer/stream" }),
    ]);
    for (const answer of answers) {
      assert.is(answer.status, 504);
      assert.ok(answer.ms < 700, `took ${answer.ms} ms`);
    }
  });
});

test("torn and foreign registrations are passed over", async () => {
  await withSetup(1, async (setup) => {
    setup.store.put("servers", "torn", "not an object");
    setup.store.put("servers", "partial", { service: "booking" });
    setup.store.put("servers", "typed", {
      service: "booking",
      address: 7,
      state: "ready",
    });
    await new Promise((resolve) => setTimeout(resolve, 300));
    for (let at = 0; at < 4; at += 1) {
      assert.is((await setup.call({ path: "/book/" })).status, 200);
    }
  });
});

test("a withdrawn key stops working, at the latest when news are too old", async () => {
  await withSetup(1, async (setup) => {
    setup.store.fault = "silent";
    setup.configure({ keys: ["another-key"] });
    const withdrawnAt = performance.now();
    await setup.waitUntil(async () => {
      const answer = await setup.call({ path: "/book/" });
      return answer.status !== 200;
    });
    assert.ok(performance.now() - withdrawnAt < 3_000);
    const refused = await setup.call({ path: "/book/", id: "late" });
    assert.is(refused.status, 503);
    assert.is(countRuns(setup, "late"), 0);
    const open = await setup.call({ path: "/lookup/", key: undefined });
    assert.is(open.status, 200);
    setup.store.fault = "none";
    await setup.waitUntil(async () => {
      const answer = await setup.call({ path: "/book/", key: "another-key" });
      return answer.status === 200;
    });
    assert.is((await setup.call({ path: "/book/" })).status, 401);
  });
});

test("a change reaches a node that does not read the store itself", async () => {
  await withSetup(3, async (setup) => {
    await new Promise((resolve) => setTimeout(resolve, 1_500));
    setup.configure({ keys: [tenantKey, "second-key"] });
    const changedAt = performance.now();
    await setup.waitUntil(async () => {
      const answers = await Promise.all(
        [0, 1, 2].map((node) =>
          setup.call({ path: "/book/", node, key: "second-key" })
        ),
      );
      return answers.every(({ status }) => status === 200);
    });
    assert.ok(performance.now() - changedAt < 1_000);
  });
});

test("nodes share one allowance", async () => {
  await withSetup(2, async (setup) => {
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    setup.configure({ rate: 10, burst: 100 });
    await new Promise((resolve) => setTimeout(resolve, 500));
    let admitted = 0;
    for (let at = 0; at < 16; at += 1) {
      const answer = await setup.call({ path: "/book/", node: at % 2 });
      if (answer.status === 200) admitted += 1;
      else assert.is(answer.status, 429);
      await new Promise((resolve) => setTimeout(resolve, 60));
    }
    // 100 tokens at once, 10 a second for about a second, 10 a request; what
    // one node has not heard of the other yet may come on top.
    assert.ok(admitted >= 10 && admitted <= 14, `${admitted} admitted`);
  });
});

test("usage of a window is reported once, also when its holder ends", async () => {
  await withSetup(2, async (setup) => {
    const endsAt = performance.now() + 9_000;
    let calls = 0;
    let hasDrained = false;
    const drained: Promise<void>[] = [];
    while (performance.now() < endsAt) {
      await setup.call({ path: "/book/", node: 1 });
      calls += 1;
      await new Promise((resolve) => setTimeout(resolve, 50));
      if (!hasDrained && performance.now() > endsAt - 5_500) {
        hasDrained = true;
        const first = setup.nodes[0];
        if (first !== undefined) drained.push(first.drain());
      }
    }
    await Promise.all(drained);
    const reports = setup.cloud.list("/usage");
    const byWindow = new Map<unknown, Set<string>>();
    for (const { body } of reports) {
      const window = body["window-id"];
      const texts = byWindow.get(window) ?? new Set();
      texts.add(JSON.stringify(body["counts"]));
      byWindow.set(window, texts);
    }
    for (const texts of byWindow.values()) assert.is(texts.size, 1);
    const holders = new Map(
      reports.map(({ holder, fencing }) => [fencing, holder]),
    );
    assert.is(holders.size, 2);
    const fencings = reports.map(({ fencing }) => fencing);
    assert.equal(fencings, [...fencings].sort((a, b) => a - b));
    assert.ok(calls > 50);
  });
});

test("a node that drains finishes its streams and cuts none", async () => {
  await withSetup(1, async (setup) => {
    await setup.addReplica("slow-1", "models", { events: 40, eventMs: 25 });
    setup.store.remove("servers", "model-1");
    setup.store.remove("servers", "model-2");
    await new Promise((resolve) => setTimeout(resolve, 300));
    const streams = [1, 2, 3].map(() => setup.call({ path: "/once/stream" }));
    await new Promise((resolve) => setTimeout(resolve, 200));
    const node = setup.nodes[0];
    await node?.drain();
    for (const answer of await Promise.all(streams)) {
      assert.is(answer.isWhole, true);
      assert.is(answer.body, formatEvents(1, 40));
    }
  });
});

test("a connection that was busy when its node drained takes no later request", async () => {
  await withSetup(1, async (setup) => {
    await setup.addReplica("slow-1", "models", { events: 140, eventMs: 25 });
    setup.configure({ timeoutMs: 6_000 });
    setup.store.remove("servers", "model-1");
    setup.store.remove("servers", "model-2");
    await new Promise((resolve) => setTimeout(resolve, 300));
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const first = setup.call({
      path: "/once/stream",
      deadlineMs: 6_000,
      agent,
    });
    await new Promise((resolve) => setTimeout(resolve, 200));
    const drained = setup.nodes[0]?.drain();
    assert.is((await first).isWhole, true);
    const second = await setup.call({
      path: "/once/stream",
      id: "late",
      agent,
    });
    assert.is(second.status === 200, false);
    assert.is(countRuns(setup, "late"), 0);
    await drained;
    agent.destroy();
  });
});

test.run();
