/**
 * Requests that tell a crashing part from another one, at all nodes together.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { PartQuarantine } from "./part_quarantine.ts";

const durationMs = 30_000;
const stepMs = 250;
/** Time after the fifth crash from which each send with the part counts. */
const contactMs = 3_000;
const crashTimes = [100, 200, 300, 400, 500];

for (const count of [9, 66, 390]) {
  test(`${count} nodes together send few requests that tell a crashing part from ones beside it`, () => {
    const nodes = Array.from(
      { length: count },
      (_, at) => PartQuarantine.create({ isProber: () => at === 0 }),
    );
    const recordAll = (
      parts: readonly string[],
      incarnation: string,
      at: number,
    ): void => {
      for (const node of nodes) node.recordCrash(parts, incarnation, at);
    };
    for (const at of crashTimes) {
      recordAll(["beside", "bad"], `r/${at}`, at);
    }
    let sent = 0;
    for (let now = 750; now < durationMs; now += stepMs) {
      const probes = nodes.filter((node) =>
        node.check(["bad", `own-${now}`], now).kind === "probe"
      );
      if (now > 500 + contactMs) sent += probes.length;
      // A crash breaks the runs of its replica, which may have the other part.
      if (probes.length > 0) recordAll(["beside", "bad"], `r/${now}`, now);
    }
    assert.ok(sent <= 3, `${sent} sent`);
  });
}

test("a part beside a crashing one comes free soon after the crashes", () => {
  const nodes = Array.from(
    { length: 66 },
    (_, at) => PartQuarantine.create({ isProber: () => at === 0 }),
  );
  for (const node of nodes) {
    for (const at of [100, 200, 300]) {
      node.recordCrash(["beside", "bad"], `r/${at}`, at);
    }
  }
  const [prober] = nodes;
  assert.is(prober?.check(["beside"], 400).kind, "probe");
  prober?.recordSurvival(["beside"], 450, 960);
  const told = prober?.listTold(1_000) ?? [];
  for (const node of nodes.slice(1)) {
    node.learn(told, 1_200);
    assert.is(node.check(["beside"], 1_300).kind, "free");
    assert.is(node.check(["bad"], 1_300).kind, "quarantined");
  }
});

test("all that is new is told in turn, whatever few parts fit into a report", () => {
  const quarantine = PartQuarantine.create({ isProber: () => false });
  for (let at = 0; at < 300; at += 1) {
    quarantine.recordCrash([`part-${at}`], `r/${at}`, at);
  }
  const told = new Set<string>();
  for (let now = 300; now < 3_000; now += 200) {
    for (const { part } of quarantine.listTold(now)) told.add(part);
  }
  assert.is(told.size, 300);
});

test.run();
