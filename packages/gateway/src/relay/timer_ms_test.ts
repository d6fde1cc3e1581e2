import { test } from "uvu";
import * as assert from "uvu/assert";
import { computeTimerMs } from "./timer_ms.ts";

test("a timer with a fractional duration never fires before its deadline", async () => {
  const runs = Array.from({ length: 200 }, async (_, index) => {
    const remainingMs = 5 + index / 37;
    const deadline = performance.now() + remainingMs;
    await new Promise((resolve) =>
      setTimeout(resolve, computeTimerMs(deadline - performance.now()))
    );
    assert.ok(performance.now() >= deadline);
  });
  await Promise.all(runs);
});

test("a deadline in the past gives the shortest timer", () => {
  assert.is(computeTimerMs(-5), 1);
});

test("a request without a timeout does not end at once", () => {
  // Node.js fires a timer of a longer duration after 1 ms.
  const maxTimerMs = 2_147_483_647;
  assert.is(computeTimerMs(maxTimerMs), maxTimerMs);
  assert.is(computeTimerMs(maxTimerMs + 2e-7), maxTimerMs);
});

test.run();
