import { test } from "uvu";
import * as assert from "uvu/assert";
import { Random } from "@almondcrank/common/random.ts";
import { createFaultPlan, faultFreeMs, faultKinds } from "./fault_plan.ts";

const lengthMs = 60_000;

test("a seed gives the same faults each time", () => {
  const plan = createFaultPlan(Random.create(7), lengthMs);
  assert.equal(createFaultPlan(Random.create(7), lengthMs), plan);
  assert.not.equal(createFaultPlan(Random.create(8), lengthMs), plan);
});

test("the end of a soak stays calm and faults overlap before it", () => {
  const plan = createFaultPlan(Random.create(7), lengthMs);
  for (const { atMs, durationMs: forMs } of plan) {
    assert.ok(atMs + forMs <= lengthMs - faultFreeMs);
  }
  const overlapping = plan.filter(({ atMs, durationMs: forMs }, at) =>
    (plan[at + 1]?.atMs ?? Infinity) < atMs + forMs
  );
  assert.ok(overlapping.length > plan.length / 4);
});

test("all kinds of faults come within a few seeds", () => {
  const drawn = new Set(
    [1, 2, 3, 4, 5].flatMap((seed) =>
      createFaultPlan(Random.create(seed), lengthMs).map(({ kind }) => kind)
    ),
  );
  assert.is(drawn.size, faultKinds.length);
});

test.run();
