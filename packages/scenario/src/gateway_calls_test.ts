/**
 * Requests whose answer is not streamed, over real sockets and against stand-ins
 * of the platform.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  countRuns,
  formatEvents,
  runWithSetup,
} from "./testing/gateway_helpers.ts";

test("a request reaches a replica unchanged and its answer comes back", async () => {
  await runWithSetup(1, async (setup) => {
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
  await runWithSetup(1, async (setup) => {
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

test("a booking whose answer is lost is neither run again nor reported as not run", async () => {
  await runWithSetup(1, async (setup) => {
    for (const id of ["booking-1", "booking-2"]) {
      setup.findReplica(id).fault = { kind: "lose_answer" };
    }
    const answer = await setup.call({ path: "/book/", id: "lost" });
    assert.is(answer.status, 502);
    assert.is(countRuns(setup, "lost"), 1);
  });
});

test("a booking that every replica declines is refused with Retry-After", async () => {
  await runWithSetup(1, async (setup) => {
    for (const id of ["booking-1", "booking-2"]) {
      setup.findReplica(id).fault = { kind: "decline" };
    }
    const answer = await setup.call({ path: "/book/", id: "full" });
    assert.is(answer.status, 503);
    assert.ok(Number(answer.headers["retry-after"]) > 0);
    assert.is(countRuns(setup, "full"), 0);
  });
});

test("a lookup goes to another replica after a lost, foreign or unsigned answer", async () => {
  await runWithSetup(1, async (setup) => {
    for (const kind of ["lose_answer", "foreign", "unsigned"] as const) {
      const first = { kind };
      setup.findReplica("booking-1").queuedFaults.push(first);
      setup.findReplica("booking-2").queuedFaults.push(first);
      const id = `lookup-${kind}`;
      const answers = [
        await setup.call({ path: "/lookup/", id }),
        await setup.call({ path: "/lookup/", id: `${id}-again` }),
      ];
      // One request may meet both faults, or each request one of them.
      const good = answers.filter(({ status }) => status === 200);
      assert.ok(good.length >= 1, kind);
      for (const answer of good) assert.match(answer.body, /answer to lookup/);
      setup.findReplica("booking-1").queuedFaults.length = 0;
      setup.findReplica("booking-2").queuedFaults.length = 0;
    }
  });
});

test("an answer without a length is complete only if its connection was not reset", async () => {
  await runWithSetup(1, async (setup) => {
    const replicas = [...setup.replicas.values()];
    for (const path of ["/book/", "/once/stream"]) {
      for (const replica of replicas) replica.fault = { kind: "unframed" };
      const good = await setup.call({ path });
      assert.is(good.status, 200);
      assert.is(good.isComplete, true);
      assert.is(good.body, formatEvents(1, 2));
      for (const afterMs of [0, 0, 0, 5]) {
        for (const replica of replicas) {
          replica.fault = { kind: "reset_unframed", afterMs };
        }
        const broken = await setup.call({ path });
        const isTakenForComplete = broken.isComplete && broken.status === 200;
        assert.is(
          isTakenForComplete,
          false,
          `${path} reset after ${afterMs} ms`,
        );
      }
    }
  });
});

test("an extra answer on a keep-alive connection reaches no caller", async () => {
  await runWithSetup(1, async (setup) => {
    for (const id of ["booking-1", "booking-2"]) {
      setup.findReplica(id).fault = { kind: "extra" };
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

test("a replica that answers before it has read a long body receives all of it", async () => {
  await runWithSetup(1, async (setup) => {
    const body = "x".repeat(60_000);
    for (const id of ["booking-1", "booking-2"]) {
      setup.findReplica(id).queuedFaults.push({ kind: "early", afterMs: 150 });
    }
    const early = await setup.call({ path: "/book/", id: "e1", body });
    assert.is(early.status, 400);
    assert.is(early.body, "too long");
    for (let at = 0; at < 6; at += 1) {
      const id = `e2-${at}`;
      const next = await setup.call({ path: "/book/", id, body: "short" });
      assert.is(next.body === `answer to ${id}` || next.status === 400, true);
    }
    await setup.waitUntil(() => countRuns(setup, "e1") === 1);
    const runs = [...setup.replicas.values()].flatMap(({ runs }) => runs);
    for (const run of runs.filter(({ id }) => id.startsWith("e"))) {
      const expected = run.id === "e1" ? body : "short";
      assert.ok(run.body === expected, `${run.id}: ${run.body.length} bytes`);
    }
  });
});

test("with 400 routes the longest prefix is chosen and all are served", async () => {
  await runWithSetup(1, async (setup) => {
    const routes = Array.from({ length: 400 }, (_, at) => ({
      hostname: "api.example",
      "path-prefix": `/book/part-${at}/`,
      "route-kind": at % 2 === 0 ? "unsafe" : "safe",
      service: at % 2 === 0 ? "booking" : "unknown-service",
      "max-attempts": 1,
      "timeout-ms": 3_000,
      "target-latency-ms": 100,
      priority: 1,
      public: false,
    }));
    setup.configure({ routes });
    await setup.waitUntil(async () => {
      const answer = await setup.call({ path: "/book/part-399/x" });
      return answer.status === 503;
    });
    const statuses = await Promise.all(
      routes.map(async (route) =>
        (await setup.call({ path: `${route["path-prefix"]}x` })).status
      ),
    );
    const expected = routes.map((_, at) => at % 2 === 0 ? 200 : 503);
    assert.equal(statuses, expected);
    const other = await setup.call({ path: "/book/part-400/x" });
    assert.is(other.status, 200);
  });
});

test("malformed requests are answered 400 or 431 and do not affect others", async () => {
  await runWithSetup(1, async (setup) => {
    const head = "POST /book/ HTTP/1.1\r\nHost: api.example\r\n";
    const smuggled = `${head}Content-Length: 4\r\n` +
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /book/ HTTP/1.1\r\n\r\n";
    const large = `${head}X-Large: ${"x".repeat(20_000)}\r\n\r\n`;
    const countBookings = (): number =>
      [...setup.replicas.values()].flatMap(({ runs }) => runs)
        .filter(({ path }) => path.startsWith("/book/")).length;
    const before = countBookings();
    assert.match(await setup.sendRaw("no request\r\n\r\n"), /^HTTP\/1.1 400 /);
    assert.match(await setup.sendRaw(smuggled), /^HTTP\/1.1 400 /);
    assert.match(await setup.sendRaw(large), /^HTTP\/1.1 431 /);
    assert.is(countBookings(), before);
    assert.is((await setup.call({ path: "/book/" })).status, 200);
  });
});

test("an invalid configuration is ignored", async () => {
  await runWithSetup(1, async (setup) => {
    for (const spec of ["torn", { version: "7" }, { version: 90, routes: 3 }]) {
      setup.store.put("config", "main", spec);
      await new Promise((resolve) => setTimeout(resolve, 150));
      assert.is((await setup.call({ path: "/book/" })).status, 200);
    }
  });
});

test("calls one after the other share the connections to their replicas", async () => {
  await runWithSetup(1, async (setup) => {
    const replicas = ["booking-1", "booking-2"].map((id) =>
      setup.findReplica(id)
    );
    const countConnections = (): number =>
      replicas.reduce((sum, replica) => sum + replica.connectionCount, 0);
    for (let call = 0; call < 4; call += 1) {
      await setup.call({ path: "/lookup/x" });
    }
    const before = countConnections();
    for (let call = 0; call < 20; call += 1) {
      const answer = await setup.call({ path: "/lookup/x" });
      assert.is(answer.status, 200);
    }
    assert.ok(countConnections() - before <= replicas.length);
  });
});

test.run();
