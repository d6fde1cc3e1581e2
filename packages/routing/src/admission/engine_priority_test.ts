import { test } from "uvu";
import * as assert from "uvu/assert";
import { computeEnginePriority } from "./engine_priority.ts";

test("the tenant's priority goes first, and the route's within it", () => {
  const compute = (tenantPriority: number | undefined, routePriority: number) =>
    computeEnginePriority({ tenantPriority, routePriority });
  assert.equal([0, 1, 2].map((route) => compute(0, route)), [0, 1, 2]);
  assert.equal([0, 1, 2].map((route) => compute(1, route)), [3, 4, 5]);
  assert.equal([0, 1, 2].map((route) => compute(undefined, route)), [0, 3, 6]);
  assert.is(compute(5, 2), 9);
  assert.is(compute(undefined, 9), 9);
});

test.run();
