import * as assert from "uvu/assert";
import { test } from "uvu";
import type { RequestResult } from "./load_client.ts";
import { computeReport, isOnTime } from "./load_report.ts";

const latencyTarget = { firstTokenMs: 1_600, betweenTokensMs: 32 };

function createResult(changes: Partial<RequestResult>): RequestResult {
  return {
    name: "chat",
    outcome: "answered",
    reason: undefined,
    run: undefined,
    dueMs: 0,
    firstOutputMs: 100,
    totalMs: 500,
    gapsMs: Array.from({ length: 100 }, () => 20),
    text: "",
    usage: undefined,
    ...changes,
  };
}

test("an answer is late if its first token or more than 5 in 100 gaps are late", () => {
  assert.ok(isOnTime(createResult({}), latencyTarget));
  assert.not(isOnTime(createResult({ firstOutputMs: 1_601 }), latencyTarget));
  const gaps = (slow: number): number[] =>
    Array.from({ length: 100 }, (_, index) => (index < slow ? 40 : 20));
  assert.ok(isOnTime(createResult({ gapsMs: gaps(5) }), latencyTarget));
  assert.not(isOnTime(createResult({ gapsMs: gaps(6) }), latencyTarget));
});

test("refused and failed requests lower the on-time share", () => {
  const report = computeReport("x", [
    createResult({}),
    createResult({ outcome: "refused", reason: "overload" }),
    createResult({ outcome: "failed", reason: "cut", dueMs: 1_500 }),
    createResult({ dueMs: 1_600 }),
  ], latencyTarget);
  assert.is(report.onTimeShare, 0.5);
  assert.equal(report.reasons, { overload: 1, cut: 1 });
  assert.equal(report.timeline.map(({ second, due }) => [second, due]), [
    [0, 2],
    [1, 2],
  ]);
});

test.run();
