import { test } from "uvu";
import * as assert from "uvu/assert";
import { computeRequiredReplicas } from "./replica_plan.ts";
import { computeEngineMs, WorkMeter } from "./work_meter.ts";

const slots = 64;
const prompt = { prompt: 17_000, output: 0 };

/**
 * Replays an overload: requests for `demand` busy replicas arrive, and those beyond
 * the capacity of `replicas` are refused.
 */
function runOverload(demand: number, replicas: number): WorkMeter {
  const meter = WorkMeter.create();
  const requestMs = computeEngineMs(prompt, { slots });
  const intervalMs = requestMs / demand;
  let admittedMs = 0;
  for (let now = 0; now < 10_000; now += intervalMs) {
    if (admittedMs + requestMs <= now * replicas) {
      admittedMs += requestMs;
      meter.record("s", requestMs, now);
    } else {
      meter.recordRefused("s", requestMs, now);
    }
  }
  return meter;
}

function computeRequired(meter: WorkMeter): number {
  const busy = meter.computeBusyReplicas("s", 10_000);
  return computeRequiredReplicas({ busy, active: 0, slots });
}

test("what is served is the work of its replicas", () => {
  const meter = runOverload(5, 12);
  assert.ok(Math.abs(meter.computeBusyReplicas("s", 10_000) - 5) < 0.8);
});

test("refused requests raise the number of replicas that are needed", () => {
  // After a zone is lost, 6 replicas are left for the load of 14.
  const required = computeRequired(runOverload(14, 6));
  assert.ok(required >= 12, `${required} replicas`);
  assert.ok(required <= 19, `${required} replicas`);
});

test("work is computed with the learnt prefill speed, within bounds", () => {
  const tokens = { prompt: 5_000, output: 0 };
  assert.is(computeEngineMs(tokens, { slots }), 100);
  assert.is(computeEngineMs(tokens, { slots, tokensPerMs: 100 }), 50);
  assert.is(computeEngineMs(tokens, { slots, tokensPerMs: 1 }), 200);
});

test.run();
