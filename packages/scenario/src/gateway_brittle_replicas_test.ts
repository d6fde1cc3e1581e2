/**
 * Replicas that fall over when they have to turn away too many requests a second,
 * under more load than they have room for.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { runWithSetup } from "./testing/gateway_helpers.ts";

/** Time from which nodes are expected to spare such replicas. */
const contactMs = 3_000;
const loadMs = 7_000;

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

test("replicas that bear few refusals do not fall over again and again", async () => {
  await runWithSetup(3, async (setup) => {
    const replicas = ["booking-1", "booking-2"]
      .map((id) => setup.findReplica(id));
    for (const [at, replica] of replicas.entries()) {
      replica.workMs = 100;
      replica.brittle = { refusalsPerSecond: 6, slots: 4 };
      setup.registerReplica(`booking-${at + 1}`, "booking", "ready", {
        slots: 4,
      });
    }
    await sleep(500);
    const startedAt = performance.now();
    const statuses: Promise<number>[] = [];
    for (let node = 0; performance.now() < startedAt + loadMs; node += 1) {
      const call = { path: "/book/x", node: node % 3 };
      statuses.push(setup.call(call).then(({ status }) => status));
      await sleep(5);
    }
    const served = (await Promise.all(statuses))
      .filter((status) => status === 200).length;
    const falls = replicas.flatMap(({ fallTimes }) => fallTimes)
      .filter((at) => at >= startedAt + contactMs);
    assert.ok(falls.length <= 2, `${falls.length} falls`);
    // Both replicas together can serve 80 requests a second.
    assert.ok(served >= 0.4 * 80 * loadMs / 1_000, `${served} served`);
  });
});

test.run();
