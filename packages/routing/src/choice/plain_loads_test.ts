import * as assert from "uvu/assert";
import { test } from "uvu";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import type { EndpointLoad } from "@almondcrank/membership/membership.ts";
import { PlainLoads } from "./plain_loads.ts";

function createLoad(running: number, ageMs: number): EndpointLoad {
  return {
    endpoint: "a",
    ageMs,
    queued: 0,
    running,
    slots: 0,
    queuedTokens: 0,
    prefillTokensPerSecond: 0,
    betweenTokensMs: 0,
    reachable: true,
  };
}

test("a report ages, is replaced only by newer ones, and expires", async () => {
  const clock = ManualClock.create();
  const loads = PlainLoads.create({ clock, isLeaving: () => false });
  assert.is(loads.find("a"), undefined);
  loads.record(createLoad(3, 100));
  await clock.advance(400);
  assert.is(loads.find("a")?.ageMs, 500);
  loads.record(createLoad(9, 2_000));
  assert.is(loads.find("a")?.running, 3);
  loads.record(createLoad(5, 0));
  assert.is(loads.find("a")?.running, 5);
  await clock.advance(10_001);
  assert.is(loads.find("a"), undefined);
});

test.run();
