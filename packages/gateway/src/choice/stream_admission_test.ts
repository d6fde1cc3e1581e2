import { test } from "uvu";
import * as assert from "uvu/assert";
import { checkAdmission } from "./stream_admission.ts";

const demand = { priority: 0, objectiveMs: 1_200, timeLeftMs: 15_000 };

test("the less urgent are refused first as prompts pile up", () => {
  const kind = (rank: number, predictedMs: number) =>
    checkAdmission({ ...demand, priority: rank, predictedMs }).kind;
  assert.equal([0, 1, 2].map((rank) => kind(rank, 300)), [
    "admitted",
    "admitted",
    "admitted",
  ]);
  assert.equal([0, 1, 2].map((rank) => kind(rank, 700)), [
    "admitted",
    "admitted",
    "refused",
  ]);
  assert.equal([0, 1, 2].map((rank) => kind(rank, 1_000)), [
    "admitted",
    "refused",
    "refused",
  ]);
  assert.is(kind(0, 2_000), "refused");
});

test("a refused caller may come back within the time that it would wait", () => {
  const verdict = checkAdmission({ ...demand, predictedMs: 20_000 });
  if (verdict.kind !== "refused") throw new Error("admitted");
  assert.is(verdict.retryAfterMs, 5_000);
  const soon = checkAdmission({ ...demand, predictedMs: 1_450 });
  if (soon.kind !== "refused") throw new Error("admitted");
  assert.is(soon.retryAfterMs, 150);
});

test("nothing is taken on that cannot begin in the time left", () => {
  const late = { ...demand, timeLeftMs: 200, predictedMs: 190 };
  assert.is(checkAdmission(late).kind, "refused");
});

test.run();
