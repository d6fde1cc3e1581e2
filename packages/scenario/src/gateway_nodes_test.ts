/**
 * Configuration, limits, duties and drain of gateway nodes, over real sockets and
 * against stand-ins of the platform.
 */

import { Agent } from "node:http";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  countRuns,
  formatEvents,
  runWithSetup,
} from "./testing/gateway_helpers.ts";
import { tenantKey } from "@almondcrank/standin/platform/example_configuration.ts";

test("a node that has just started serves its first callers", async () => {
  await runWithSetup(1, async (setup) => {
    await setup.restart(0);
    const answers = await Promise.all(
      ["/book/", "/answer/x/stream", "/lookup/x"].map((path) =>
        setup.call({ path })
      ),
    );
    assert.equal(answers.map(({ status }) => status), [200, 200, 200]);
  });
});

test("a node without a configuration refuses at once with Retry-After", async () => {
  await runWithSetup(1, async (setup) => {
    setup.store.fault = "silent";
    await setup.restart(0);
    const answer = await setup.call({ path: "/book/", id: "early" });
    assert.is(answer.status, 503);
    assert.ok(answer.headers["retry-after"] !== undefined);
    assert.ok(answer.totalMs < 700, `${answer.totalMs} ms`);
    assert.is(countRuns(setup, "early"), 0);
  });
});

test("malformed registrations are ignored", async () => {
  await runWithSetup(1, async (setup) => {
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

test("a change reaches a node that does not read the store itself", async () => {
  await runWithSetup(3, async (setup) => {
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

test("nodes share one rate limit", async () => {
  await runWithSetup(2, async (setup) => {
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
    // The bucket holds 100 tokens, refills 10 per second for about a second, and
    // a request costs 10. Charges that a node has not yet learned from the other
    // may admit a few more.
    assert.ok(admitted >= 10 && admitted <= 14, `${admitted} admitted`);
  });
});

test("usage of a window has one count, also when its holder drains", async () => {
  await runWithSetup(2, async (setup) => {
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
    const reports = setup.cloud.listCalls("/usage");
    const byWindow = new Map<unknown, Set<string>>();
    for (const { body } of reports) {
      const window = body["window-id"];
      const texts = byWindow.get(window) ?? new Set();
      texts.add(JSON.stringify(body["counts"]));
      byWindow.set(window, texts);
    }
    for (const texts of byWindow.values()) assert.is(texts.size, 1);
    const holders = new Map(
      reports.map(({ holder, fencingToken }) => [fencingToken, holder]),
    );
    assert.is(holders.size, 2);
    const fencingTokens = reports.map(({ fencingToken }) => fencingToken);
    assert.equal(fencingTokens, [...fencingTokens].sort((a, b) => a - b));
    assert.ok(calls > 50);
  });
});

test("a node that drains finishes its streams", async () => {
  await runWithSetup(1, async (setup) => {
    await setup.addReplica("slow-1", "models", { events: 40, eventMs: 25 });
    setup.store.remove("servers", "model-1");
    setup.store.remove("servers", "model-2");
    await new Promise((resolve) => setTimeout(resolve, 300));
    const streams = [1, 2, 3].map(() => setup.call({ path: "/once/stream" }));
    await new Promise((resolve) => setTimeout(resolve, 200));
    const node = setup.nodes[0];
    await node?.drain();
    for (const answer of await Promise.all(streams)) {
      assert.is(answer.isComplete, true);
      assert.is(answer.body, formatEvents(1, 40));
    }
  });
});

test("a connection that was busy when its node drained accepts no later request", async () => {
  await runWithSetup(1, async (setup) => {
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
    assert.is((await first).isComplete, true);
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

test.run();
