import { test } from "uvu";
import * as assert from "uvu/assert";
import { computeRouteReport } from "./route_load.ts";
import type { RouteAnswer } from "./route_client.ts";

function createAnswer(change: Partial<RouteAnswer>): RouteAnswer {
  return {
    status: 200,
    headers: {},
    body: "",
    isComplete: true,
    firstByteMs: 5,
    totalMs: 20,
    isAborted: false,
    ...change,
  };
}

test("a report counts statuses and has latencies of complete answers only", () => {
  const report = computeRouteReport([
    createAnswer({}),
    createAnswer({ status: 429, totalMs: 900 }),
    createAnswer({ isComplete: false, totalMs: 900 }),
    createAnswer({ status: 0, isComplete: false, totalMs: 900 }),
  ]);
  assert.equal(report.byStatus, { "200": 2, "429": 1, "no answer": 1 });
  assert.is(report.broken, 1);
  assert.ok(Math.abs(report.whole.max - 20) < 0.1);
  assert.ok(Math.abs(report.first.p50 - 5) < 0.1);
});

test("the latencies of a report without answers are 0", () => {
  assert.equal(computeRouteReport([]).first, { p50: 0, p99: 0, max: 0 });
});

test.run();
