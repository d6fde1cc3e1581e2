import * as assert from "uvu/assert";
import { test } from "uvu";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { AdmissionController } from "./admission_controller.ts";
import type { ReplicaChoice } from "../choice/replica_chooser.ts";
import {
  createEndpoint,
  createRequest,
  testTeam,
} from "../testing/model_setup.ts";

function createChoice(waitMs: number, restMs = 0): ReplicaChoice {
  const totalMs = waitMs + restMs;
  return {
    endpoint: createEndpoint("e0"),
    waitMs,
    firstTokenMs: totalMs,
    totalMs,
    cachedTokens: 0,
    seenTokens: 0,
  };
}

test("a request that would be late is refused at once, not run", () => {
  const clock = ManualClock.create();
  const admission = AdmissionController.create(clock);
  const request = createRequest(clock);
  assert.ok(admission.check(request, createChoice(550)).isRight());
  const late = admission.check(request, createChoice(600));
  const { kind, run, retryAfterMs } = late.swap().unsafeCoerce().detail;
  assert.equal([kind, run], ["overload", "not_run"]);
  // 40 ms beyond the limit of 560, at a demand of twice what is accepted.
  assert.is(retryAfterMs, 80);
  const deadline = admission.check(request, createChoice(10, 31_000));
  assert.is(deadline.swap().unsafeCoerce().kind, "overload");
});

test("a long prompt on an idle replica is accepted", () => {
  const clock = ManualClock.create();
  const admission = AdmissionController.create(clock);
  const choice = createChoice(0, 5_000);
  assert.ok(admission.check(createRequest(clock), choice).isRight());
});

test("the lower priority is shed first", () => {
  const clock = ManualClock.create();
  const admission = AdmissionController.create(clock);
  const low = createRequest(clock, { team: { ...testTeam, priority: 9 } });
  const choice = createChoice(300);
  assert.ok(admission.check(low, choice).isLeft());
  assert.ok(admission.check(createRequest(clock), choice).isRight());
  assert.ok(admission.check(low, createChoice(50)).isRight());
});

test.run();
