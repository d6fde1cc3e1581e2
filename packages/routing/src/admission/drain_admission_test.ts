import { test } from "uvu";
import * as assert from "uvu/assert";
import { isTakenDuringDrain } from "./drain_admission.ts";

test("a request that may run once is taken only if it ends before the node", () => {
  const decide = (leftMs: number, limitMs: number, mayRepeat: boolean) =>
    isTakenDuringDrain({ leftMs, limitMs, mayRepeat });
  assert.ok(decide(7_000, 1_000, false));
  assert.not(decide(7_000, 15_000, false));
  assert.not(decide(500, 1_000, false));
  assert.ok(decide(500, 15_000, true));
});

test.run();
