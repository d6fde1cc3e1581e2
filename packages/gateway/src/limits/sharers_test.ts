/**
 * Who shares limits, as nodes with real reports see it: beside cuts, starts and
 * drains, in a small system and over relays.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Tenant } from "@almondcrank/model/configuration.ts";
import {
  replicaKey,
  type TestNode,
  TestSystem,
} from "../testing/test_system.ts";

const perSecond = 20;
const tenant: Tenant = {
  name: "q",
  keys: [],
  unit: "tokens",
  defaultTokens: 1,
  ratePerSecond: 1_000,
  burst: 1_000,
};

/** Sums what all nodes may send to the replica, in requests a second. */
function sumShares(nodes: readonly TestNode[]): number {
  return nodes.reduce(
    (sum, { table }) => sum + (table.find(replicaKey)?.limit.share ?? 0),
    0,
  );
}

/** Makes nodes hear the replica's limit in answers. */
function nameLimit(nodes: readonly TestNode[], now: number): void {
  for (const { table } of nodes) {
    table.find(replicaKey)?.limit.recordAnswer(perSecond, { sentAt: now, now });
  }
}

for (
  const { count, zones } of [{ count: 9, zones: 4 }, { count: 76, zones: 5 }]
) {
  test(`shares of a replica's limit add up to it while a third is cut off, ${count} nodes`, async () => {
    const system = await TestSystem.open(count, zones);
    const { nodes, clock } = system;
    const island = new Set(
      nodes.filter((_, at) => at % 20 < 7).map(({ ip }) => ip),
    );
    nameLimit(nodes, clock.now());
    await clock.advance(2_000);
    system.isCut = (from, to) => island.has(from) !== island.has(to);
    let worst = 0;
    for (let at = 0; at < 8_000; at += 200) {
      // Only one side sends and hears the limit again.
      nameLimit(nodes.filter(({ ip }) => !island.has(ip)), clock.now());
      await clock.advance(200);
      if (at >= 2_000) worst = Math.max(worst, sumShares(nodes));
    }
    system.close();
    assert.ok(worst <= perSecond * 1.01, `${worst} of ${perSecond}`);
  });

  test(`nodes that start anew behind a cut share a replica's limit, ${count} nodes`, async () => {
    const system = await TestSystem.open(count, zones);
    const { nodes, clock } = system;
    const restarted = nodes.filter((_, at) => at % 20 < 7);
    const island = new Set(restarted.map(({ ip }) => ip));
    system.isCut = (from, to) => island.has(from) || island.has(to);
    for (const node of restarted) await system.restart(node, "2");
    let worst = 0;
    for (let at = 0; at < 8_000; at += 200) {
      nameLimit(nodes, clock.now());
      await clock.advance(200);
      if (at >= 2_000) worst = Math.max(worst, sumShares(nodes));
    }
    system.close();
    assert.ok(worst <= perSecond * 1.01, `${worst} of ${perSecond}`);
  });

  test(`what a node that ended after a drain could use is left to the others, ${count} nodes`, async () => {
    const system = await TestSystem.open(count, zones);
    const { nodes, clock } = system;
    for (const { limiter } of nodes) limiter.prepare([tenant], clock.now());
    const [gone, ...others] = nodes;
    if (gone === undefined) throw new Error("no nodes");
    gone.isDraining = true;
    await clock.advance(2_000);
    system.kill(gone);
    await clock.advance(4_000);
    for (const { limiter, node } of others) {
      const use = limiter.listUse(clock.now())
        .find(({ tenant }) => tenant === "q");
      assert.is(use?.share, 1, node);
    }
    system.close();
  });
}

test.run();
