import { test } from "uvu";
import * as assert from "uvu/assert";
import { BodyBudget } from "./body_budget.ts";

const mib = 1_048_576;

test("bodies that hold too much together are read no further, small ones are", () => {
  const budget = BodyBudget.create();
  const large = Array.from({ length: 4 }, () => budget.open());
  for (const share of large) assert.ok(share.add(8 * mib));
  assert.not(large[0]?.add(1));
  const small = budget.open();
  assert.ok(small.add(200_000));
  assert.not(small.add(100_000));
  for (const share of [...large, small]) share.release();
  const next = budget.open();
  assert.ok(next.add(8 * mib));
  next.release();
  next.release();
  assert.ok(budget.open().add(32 * mib));
});

test.run();
