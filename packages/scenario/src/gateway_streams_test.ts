/**
 * Streamed answers, over real sockets and against stand-ins of the platform.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import type { RouteAnswer } from "@almondcrank/load/route_client.ts";
import {
  exampleHostname,
  tenantKey,
} from "@almondcrank/standin/platform/example_configuration.ts";
import type { GatewaySetup } from "./testing/gateway_setup.ts";
import {
  countRuns,
  formatEvents,
  runWithSetup,
} from "./testing/gateway_helpers.ts";

test("a stream that breaks within an event continues at another replica", async () => {
  await runWithSetup(1, async (setup) => {
    for (const id of ["model-1", "model-2"]) {
      setup.findReplica(id).queuedFaults.push({ kind: "break", events: 2 });
    }
    setup.findReplica("model-2").queuedFaults.length = 0;
    setup.findReplica("model-1").queuedFaults.length = 0;
    setup.findReplica("model-1").fault = { kind: "break", events: 2 };
    let broken = 0;
    for (let at = 0; at < 6; at += 1) {
      const id = `stream-${at}`;
      const answer = await setup.call({ path: "/answer/stream", id });
      assert.is(answer.status, 200);
      assert.is(answer.isComplete, true);
      assert.is(answer.body, formatEvents(1, 5));
      if (countRuns(setup, id) === 2) broken += 1;
    }
    assert.ok(broken >= 1);
  });
});

for (const framing of ["connection", "chunks"] as const) {
  test(`a stream framed by its ${framing} that ends within an event is not complete`, async () => {
    await runWithSetup(1, async (setup) => {
      const [first, second] = [
        setup.findReplica("model-1"),
        setup.findReplica("model-2"),
      ];
      first.streamFraming = framing;
      second.streamFraming = framing;
      first.fault = { kind: "end_within_event", events: 2 };
      let resumed = 0;
      for (let at = 0; at < 6; at += 1) {
        const id = `stream-${at}`;
        const answer = await setup.call({ path: "/answer/stream", id });
        assert.is(answer.isComplete, true);
        assert.is(answer.body, formatEvents(1, 5));
        if (countRuns(setup, id) === 2) resumed += 1;
      }
      assert.ok(resumed >= 1);
      second.fault = { kind: "end_within_event", events: 2 };
      const once = await setup.call({ path: "/once/stream", id: "once" });
      assert.is(once.isComplete, false);
      assert.is(once.body, formatEvents(1, 2));
      assert.is(countRuns(setup, "once"), 1);
    });
  });
}

/** Streams without a length at a replica that is about to leave. */
const unframed = {
  events: 60,
  eventMs: 20,
  streamFraming: "connection",
} as const;

/** Begins a stream at the replica `slow-1` and lets that one leave. */
async function moveStream(
  setup: GatewaySetup,
  path: string,
  moveMs: number,
): Promise<RouteAnswer> {
  const source = await setup.addReplica("slow-1", "models", unframed);
  source.moveMs = moveMs;
  setup.registerReplica("model-1", "models", "draining");
  setup.registerReplica("model-2", "models", "draining");
  await setup.waitUntil(async () => {
    await setup.call({ path: "/once/stream", abortAfterMs: 100 });
    return source.runs.length > 0;
  });
  const streaming = setup.call({ path, id: "moved", deadlineMs: 8_000 });
  await setup.waitUntil(() => countRuns(setup, "moved") === 1);
  await setup.addReplica("slow-2", "models", unframed);
  await new Promise((resolve) => setTimeout(resolve, 200));
  setup.registerReplica("slow-1", "models", "draining", { leaves_ms: 900 });
  return await streaming;
}

test("a run that moves from a replica whose stream has no length is not complete there", async () => {
  await runWithSetup(1, async (setup) => {
    const answer = await moveStream(setup, "/once/stream", 0);
    assert.is(answer.isComplete, true);
    assert.is(answer.body, formatEvents(1, 60));
    assert.is(countRuns(setup, "moved"), 2);
  });
});

// Guards against a stream that ends as complete while its run is being moved.
test("a stream that only its moved run can continue waits for a copy that takes long", async () => {
  await runWithSetup(1, async (setup) => {
    setup.configure({ timeoutMs: 8_000 });
    const answer = await moveStream(setup, "/once/stream", 1_500);
    assert.is(answer.isComplete, true);
    assert.is(answer.body, formatEvents(1, 60));
    assert.is(countRuns(setup, "moved"), 2);
  });
});

test("a stream whose move is never answered does not end as complete", async () => {
  await runWithSetup(1, async (setup) => {
    setup.configure({ timeoutMs: 8_000 });
    const answer = await moveStream(setup, "/once/stream", 20_000);
    assert.is(answer.status, 200);
    assert.is(answer.isComplete, false);
  });
});

test("a stream that may be resumed goes on elsewhere if its move is not answered", async () => {
  await runWithSetup(1, async (setup) => {
    setup.configure({ timeoutMs: 8_000 });
    const answer = await moveStream(setup, "/answer/stream", 20_000);
    assert.is(answer.isComplete, true);
    assert.is(answer.body, formatEvents(1, 60));
  });
});

test("a stream resumed after a replica that stated a length is delivered whole", async () => {
  await runWithSetup(1, async (setup) => {
    const first = setup.findReplica("model-1");
    const second = setup.findReplica("model-2");
    first.streamFraming = "length";
    first.fault = { kind: "break", events: 2 };
    second.tokenText = "a longer token";
    let resumed = 0;
    for (let at = 0; at < 6; at += 1) {
      const id = `stated-${at}`;
      const answer = await setup.call({ path: "/answer/stream", id });
      assert.is(answer.isComplete, true);
      if (countRuns(setup, id) < 2) continue;
      resumed += 1;
      assert.match(answer.body, /data: token 2\n\nid: 3\n/);
      assert.match(answer.body, /id: 5\ndata: a longer token 5\n\n$/);
    }
    assert.ok(resumed >= 1);
  });
});

test("a stream without a length that ends before its first event is not complete", async () => {
  await runWithSetup(1, async (setup) => {
    for (const id of ["model-1", "model-2"]) {
      setup.findReplica(id).streamFraming = "connection";
      setup.findReplica(id).fault = { kind: "end_without_events" };
    }
    const once = await setup.call({ path: "/once/stream", id: "once" });
    assert.is(once.isComplete && once.status === 200, false);
    setup.findReplica("model-2").fault = { kind: "none" };
    const answer = await setup.call({ path: "/answer/stream", id: "again" });
    assert.is(answer.body, formatEvents(1, 5));
  });
});

test("a broken stream is not complete for a caller that reads to the end of the connection", async () => {
  await runWithSetup(1, async (setup) => {
    for (const id of ["model-1", "model-2"]) {
      setup.findReplica(id).fault = { kind: "break", events: 2 };
    }
    const ended = await setup.readRawEnd(
      `POST /once/stream HTTP/1.0\r\nHost: ${exampleHostname}\r\n` +
        `X-Request-Id: old\r\nX-Deadline-Ms: 2000\r\n` +
        `Authorization: Bearer ${tenantKey}\r\nContent-Length: 0\r\n\r\n`,
    );
    assert.match(ended.text, /id: 2\n/);
    assert.is(ended.isReset, true);
  });
});

test("a stream that must not be resumed is cut and not run again", async () => {
  await runWithSetup(1, async (setup) => {
    for (const id of ["model-1", "model-2"]) {
      setup.findReplica(id).fault = { kind: "break", events: 2 };
    }
    const answer = await setup.call({ path: "/once/stream", id: "once" });
    assert.is(answer.isComplete, false);
    assert.is(answer.body, formatEvents(1, 2));
    assert.is(countRuns(setup, "once"), 1);
  });
});

test("an answer that no other replica can continue is awaited until the timeout", async () => {
  await runWithSetup(1, async (setup) => {
    setup.configure({ timeoutMs: 2_500 });
    await new Promise((resolve) => setTimeout(resolve, 300));
    for (const id of ["model-1", "model-2"]) {
      setup.findReplica(id).fault = { kind: "hang" };
    }
    const answer = await setup.call({ path: "/answer/stream", id: "silent" });
    assert.is(countRuns(setup, "silent"), 2);
    assert.is(answer.status, 504);
    assert.ok(answer.totalMs > 2_300, `ended after ${answer.totalMs} ms`);
  });
});

test("a run moves with its KV cache from a replica that leaves", async () => {
  await runWithSetup(1, async (setup) => {
    await setup.addReplica("slow-1", "models", { events: 60, eventMs: 20 });
    setup.registerReplica("model-1", "models", "draining");
    setup.registerReplica("model-2", "models", "draining");
    await setup.waitUntil(async () => {
      const answer = await setup.call({
        path: "/once/stream",
        abortAfterMs: 100,
      });
      void answer;
      return setup.findReplica("slow-1").runs.length > 0;
    });
    const streaming = setup.call({ path: "/once/stream", id: "moved" });
    await setup.waitUntil(() => countRuns(setup, "moved") === 1);
    await setup.addReplica("slow-2", "models", { events: 60, eventMs: 20 });
    await new Promise((resolve) => setTimeout(resolve, 200));
    setup.registerReplica("slow-1", "models", "draining", { leaves_ms: 900 });
    const answer = await streaming;
    assert.is(answer.isComplete, true);
    assert.is(answer.body, formatEvents(1, 60));
    assert.is(answer.headers["x-server-seal"], "seal-of-slow-1");
    const second = setup.findReplica("slow-2").runs
      .find(({ id }) => id === "moved");
    assert.is(second?.isMoved, true);
  });
});

test("a replica stops running a request soon after its caller has left", async () => {
  await runWithSetup(1, async (setup) => {
    await setup.addReplica("slow-1", "models", { events: 500, eventMs: 20 });
    setup.store.remove("servers", "model-1");
    setup.store.remove("servers", "model-2");
    await new Promise((resolve) => setTimeout(resolve, 300));
    await setup.call({ path: "/answer/stream", id: "gone", abortAfterMs: 200 });
    const run = setup.findReplica("slow-1").runs.find(({ id }) =>
      id === "gone"
    );
    assert.ok(run !== undefined);
    await setup.waitUntil(() => run?.hasEnded === true);
    assert.is(countRuns(setup, "gone"), 1);
  });
});

test("a request is answered 504 at its route's timeout", async () => {
  await runWithSetup(1, async (setup) => {
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
      assert.ok(answer.totalMs < 700, `took ${answer.totalMs} ms`);
    }
  });
});

test("a withdrawn key stops working, at the latest when the configuration is stale", async () => {
  await runWithSetup(1, async (setup) => {
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

test.run();
