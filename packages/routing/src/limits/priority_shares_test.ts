import { test } from "uvu";
import * as assert from "uvu/assert";
import { PriorityShares } from "./priority_shares.ts";

test("the urgent are preferred while nothing is known", () => {
  assert.is(PriorityShares.create().isUrgentPreferred(0), true);
});

test("the preference ends when the others are admitted too seldom", () => {
  const shares = PriorityShares.create();
  for (let at = 0; at < 20; at += 1) {
    shares.record(0, true, at);
    shares.record(1, false, at);
  }
  assert.is(shares.isUrgentPreferred(20), false);
});

test("one refusal among few requests does not end it", () => {
  const shares = PriorityShares.create();
  shares.record(0, true, 0);
  shares.record(1, false, 0);
  assert.is(shares.isUrgentPreferred(0), true);
});

test("all priorities below the highest count as the others", () => {
  const shares = PriorityShares.create();
  for (let at = 0; at < 20; at += 1) shares.record(1 + at % 3, false, at);
  assert.is(shares.isUrgentPreferred(20), false);
});

test("what was refused is forgotten with time", () => {
  const shares = PriorityShares.create();
  for (let at = 0; at < 20; at += 1) shares.record(1, false, at);
  assert.is(shares.isUrgentPreferred(20), false);
  assert.is(shares.isUrgentPreferred(60_000), true);
});

/** A tenant of which one of two requests is admitted, the preferred one. */
test("over time the shares near the fixed proportion", () => {
  const shares = PriorityShares.create();
  const admitted = [0, 0];
  for (let now = 0; now < 60_000; now += 60) {
    const preferred = shares.isUrgentPreferred(now) ? 0 : 1;
    for (const priority of [0, 1]) {
      const isAdmitted = priority === preferred;
      shares.record(priority, isAdmitted, now);
      if (isAdmitted) admitted[priority] = (admitted[priority] ?? 0) + 1;
    }
  }
  const [urgent = 0, others = 1] = admitted;
  const ratio = urgent / others;
  assert.ok(ratio > 1.3 && ratio < 1.7, `${ratio}`);
});

test.run();
