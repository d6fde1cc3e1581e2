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

test("a request that would be late is refused without being run", () => {
  const clock = ManualClock.create();
  const admission = AdmissionController.create(clock);
  const request = createRequest(clock);
  assert.ok(admission.check(request, createChoice(550)).isRight());
  const refused = admission.check(request, createChoice(600));
  const { kind, run, retryAfterMs } = refused.swap().unsafeCoerce().detail;
  assert.equal([kind, run], ["overload", "not_run"]);
  // 40 ms over the limit of 560 ms; demand is twice the accepted requests.
  assert.is(retryAfterMs, 80);
  const overDeadline = admission.check(request, createChoice(10, 31_000));
  assert.is(overDeadline.swap().unsafeCoerce().kind, "overload");
});

test("a long prompt on an idle replica is accepted", () => {
  const clock = ManualClock.create();
  const admission = AdmissionController.create(clock);
  const choice = createChoice(0, 5_000);
  assert.ok(admission.check(createRequest(clock), choice).isRight());
});

test("requests of the lower priority are shed first", () => {
  const clock = ManualClock.create();
  const admission = AdmissionController.create(clock);
  const lowPriority = createRequest(clock, {
    team: { ...testTeam, priority: 9 },
  });
  const choice = createChoice(300);
  assert.ok(admission.check(lowPriority, choice).isLeft());
  assert.ok(admission.check(createRequest(clock), choice).isRight());
  assert.ok(admission.check(lowPriority, createChoice(50)).isRight());
});

test.run();
