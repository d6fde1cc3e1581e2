/**
 * Retry budgets while nodes don't hear of each other: nodes with real reports, in a
 * small system and over relays.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { Random } from "@almondcrank/common/random.ts";
import { type TestNode, TestSystem } from "../testing/test_system.ts";

const stepMs = 20;
const calmMs = 3_000;
const cutMs = 5_000;
const durationMs = 12_000;
/** Terms of the test system's budgets, whose window is longer than a run. */
const ratio = 0.2;
const extra = 100;

for (
  const { count, zones } of [{ count: 9, zones: 4 }, { count: 76, zones: 5 }]
) {
  for (
    const { name, isLost } of [
      {
        name: "a third is cut off",
        isLost: (from: number, to: number) => (from % 20 < 7) !== (to % 20 < 7),
      },
      { name: "no node hears another", isLost: () => true },
      {
        name: "a third hears nobody",
        isLost: (_from: number, to: number) => to % 20 < 7,
      },
      {
        name: "nobody hears a third",
        isLost: (from: number) => from % 20 < 7,
      },
    ]
  ) {
    test(`retries keep the budget while ${name}, ${count} nodes`, async () => {
      const system = await TestSystem.open(count, zones);
      const { nodes, clock } = system;
      const byIp = new Map(nodes.map(({ ip }, index) => [ip, index]));
      const startedAt = clock.now();
      system.isCut = (from, to) => {
        const at = clock.now() - startedAt;
        return at >= calmMs && at < calmMs + cutMs &&
          isLost(byIp.get(from) ?? 0, byIp.get(to) ?? 0);
      };
      const random = Random.create(count);
      let requests = 0;
      let retries = 0;
      for (let at = 0; at < durationMs; at += stepMs) {
        await clock.advance(stepMs);
        const now = clock.now();
        for (let sent = 0; sent < 4; sent += 1) {
          const { budget } = nodes[random.nextInt(count)] as TestNode;
          budget.recordRequest("s", now);
          requests += 1;
          // From the cut on each request fails and asks for a retry.
          if (at >= calmMs && budget.take("s", now)) retries += 1;
        }
      }
      system.close();
      const allowed = ratio * requests + extra;
      assert.ok(retries <= allowed, `${retries} of ${allowed} allowed`);
    });
  }
}

test.run();
