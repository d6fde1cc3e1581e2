import { test } from "uvu";
import * as assert from "uvu/assert";
import { checkAdmission } from "./stream_admission.ts";

const input = { priority: 0, objectiveMs: 1_200, timeLeftMs: 15_000 };

test("low priorities are refused first as the predicted time grows", () => {
  const kind = (priority: number, predictedMs: number) =>
    checkAdmission({ ...input, priority, predictedMs }).kind;
  assert.equal([0, 1, 2].map((priority) => kind(priority, 300)), [
    "admitted",
    "admitted",
    "admitted",
  ]);
  assert.equal([0, 1, 2].map((priority) => kind(priority, 700)), [
    "admitted",
    "admitted",
    "refused",
  ]);
  assert.equal([0, 1, 2].map((priority) => kind(priority, 1_000)), [
    "admitted",
    "refused",
    "refused",
  ]);
  assert.is(kind(0, 2_000), "refused");
});

test("the retry time is at least 150 ms and at most a third of the remaining time", () => {
  const verdict = checkAdmission({ ...input, predictedMs: 20_000 });
  if (verdict.kind !== "refused") throw new Error("admitted");
  assert.is(verdict.retryAfterMs, 5_000);
  const soon = checkAdmission({ ...input, predictedMs: 1_450 });
  if (soon.kind !== "refused") throw new Error("admitted");
  assert.is(soon.retryAfterMs, 150);
});

test("a stream is refused if it cannot begin in the remaining time", () => {
  const late = { ...input, timeLeftMs: 200, predictedMs: 190 };
  assert.is(checkAdmission(late).kind, "refused");
});

test.run();
