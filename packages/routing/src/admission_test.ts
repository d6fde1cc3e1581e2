import * as assert from "uvu/assert";
import { test } from "uvu";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Admission } from "./admission.ts";
import type { Choice } from "./replica_choice.ts";
import {
  createEndpoint,
  createRequest,
  testTeam,
} from "./testing/model_setup.ts";

function createChoice(firstTokenMs: number, totalMs = firstTokenMs): Choice {
  const endpoint = createEndpoint("e0");
  return { endpoint, firstTokenMs, totalMs, cachedTokens: 0, seenTokens: 0 };
}

test("a request that would be late is refused at once, not run", () => {
  const clock = ManualClock.create();
  const admission = Admission.create(clock);
  const request = createRequest(clock);
  assert.ok(admission.check(request, createChoice(1_300)).isRight());
  const late = admission.check(request, createChoice(1_700));
  const { kind, run, retryAfterMs } = late.swap().unsafeCoerce().detail;
  assert.equal([kind, run], ["overload", "not_run"]);
  // 340 ms beyond the limit, at a demand of twice what is accepted.
  assert.is(retryAfterMs, 680);
  const deadline = admission.check(request, createChoice(10, 31_000));
  assert.is(deadline.swap().unsafeCoerce().kind, "overload");
});

test("the lower priority is shed first", () => {
  const clock = ManualClock.create();
  const admission = Admission.create(clock);
  const low = createRequest(clock, { team: { ...testTeam, priority: 9 } });
  const choice = createChoice(800);
  assert.ok(admission.check(low, choice).isLeft());
  assert.ok(admission.check(createRequest(clock), choice).isRight());
  assert.ok(admission.check(low, createChoice(400)).isRight());
});

test.run();
