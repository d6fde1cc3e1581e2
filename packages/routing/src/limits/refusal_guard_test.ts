/**
 * Replicas that fall over when they turn away too many requests a second, under
 * more load than they have room for.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { Random } from "@almondcrank/common/random.ts";
import { RefusalGuard } from "./refusal_guard.ts";

const slots = 12;
const bearable = 10;
const runMs = 400;
const stepMs = 20;
/** Time in which a node learns the load that others put on a replica. */
const toldAfterMs = 400;
const contactMs = 3_000;

/** Sends twice what a replica has room for; returns its refusals by second. */
function measureRefusals(nodes: number): {
  readonly most: number;
  readonly servedShare: number;
} {
  const random = Random.create(nodes);
  const guards = Array.from({ length: nodes }, () => RefusalGuard.create());
  for (const guard of guards) guard.recordStatement(bearable, 0);
  const running: { readonly endAt: number }[] = [];
  const own: { readonly node: number; readonly at: number }[] = [];
  const refusedAt: number[] = [];
  const told: number[] = [];
  let served = 0;
  const perStep = 2 * slots * stepMs / runMs;
  for (let now = 0; now < 20_000; now += stepMs) {
    const left = running.filter(({ endAt }) => endAt > now);
    running.splice(0, running.length, ...left);
    told.push(running.length);
    const late = told[told.length - 1 - toldAfterMs / stepMs] ?? 0;
    for (let sent = perStep; sent > 0; sent -= 1) {
      if (random.next() > sent) continue;
      const node = random.nextInt(nodes);
      const guard = guards[node];
      const ownSince = own.filter((send) =>
        send.node === node && now - send.at < toldAfterMs
      ).length;
      const room = { active: late + ownSince, own: ownSince, nodes, slots };
      if (guard === undefined || !guard.isOpen(room, now)) continue;
      own.push({ node, at: now });
      guard.recordStatement(bearable, now);
      if (running.length < slots) {
        running.push({ endAt: now + runMs });
        served += 1;
      } else {
        refusedAt.push(now);
        guard.recordRefusal(nodes, now);
      }
    }
  }
  const counts = refusedAt.filter((at) => at >= contactMs).map((at) =>
    refusedAt.filter((other) => other >= at && other < at + 1_000).length
  );
  const capacity = slots * 20_000 / runMs;
  return { most: Math.max(0, ...counts), servedShare: served / capacity };
}

for (const nodes of [9, 66, 390]) {
  test(`${nodes} nodes together are refused no more often than a replica bears`, () => {
    const { most, servedShare } = measureRefusals(nodes);
    assert.ok(most <= bearable, `${most} refusals in a second`);
    assert.ok(servedShare >= 0.4, `${servedShare} of its room used`);
  });
}

test("a replica that says nothing of it is not spared", () => {
  const guard = RefusalGuard.create();
  const room = { own: 0, nodes: 9, slots };
  guard.recordRefusal(9, 0);
  assert.is(guard.isOpen({ ...room, active: 50 }, 0), true);
  guard.recordStatement(5, 0);
  assert.is(guard.isOpen({ ...room, active: 50 }, 1), false);
  assert.is(guard.isOpen({ ...room, active: 3 }, 1), true);
  guard.recordStatement(undefined, 5_000);
  assert.is(guard.isOpen({ ...room, active: 50 }, 9_000), false);
  assert.is(guard.isOpen({ ...room, active: 50 }, 10_001), true);
});

test.run();
