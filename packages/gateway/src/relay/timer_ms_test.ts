import { test } from "uvu";
import * as assert from "uvu/assert";
import { computeTimerMs } from "./timer_ms.ts";

test("a timer of a fraction never fires before its time", async () => {
  const runs = Array.from({ length: 200 }, async (_, at) => {
    const remainingMs = 5 + at / 37;
    const endsAt = performance.now() + remainingMs;
    await new Promise((resolve) =>
      setTimeout(resolve, computeTimerMs(endsAt - performance.now()))
    );
    assert.ok(performance.now() >= endsAt);
  });
  await Promise.all(runs);
});

test("a time that is over gives a timer that fires soon", () => {
  assert.is(computeTimerMs(-5), 1);
});

test.run();
