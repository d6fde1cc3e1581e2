/**
 * Quarantine of prompt parts on one node, and on several that tell each other.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { PartQuarantine, type QuarantineChange } from "./part_quarantine.ts";
import { QuarantineSimulation } from "../testing/quarantine_simulation.ts";

function createQuarantine(isProber = true): PartQuarantine {
  return PartQuarantine.create({ isProber: () => isProber });
}

/** Records crashes of as many incarnations, one a second, from 1 s on. */
function crashTimes(
  quarantine: PartQuarantine,
  parts: readonly string[],
  count: number,
): number {
  for (let at = 1; at <= count; at += 1) {
    quarantine.recordCrash(parts, `r/${at}`, at * 1_000);
  }
  return count * 1_000;
}

test("a part under which three incarnations crashed is refused until a probe is due", () => {
  const quarantine = createQuarantine();
  const now = crashTimes(quarantine, ["bad"], 2);
  assert.is(quarantine.check(["bad"], now).kind, "free");
  quarantine.recordCrash(["bad"], "r/3", 3_000);
  const verdict = quarantine.check(["first", "bad"], 3_500);
  assert.equal(verdict, {
    kind: "quarantined",
    part: "bad",
    retryAfterMs: 59_500,
  });
});

test("many broken runs on one incarnation are one crash", () => {
  const quarantine = createQuarantine();
  for (let run = 0; run < 64; run += 1) {
    quarantine.recordCrash(["shared"], "r/1", 1_000 + run);
  }
  assert.is(quarantine.check(["shared"], 2_000).kind, "free");
});

test("a run that goes well clears a part of the crashes before it, not of later ones", () => {
  const quarantine = createQuarantine();
  crashTimes(quarantine, ["shared"], 2);
  quarantine.recordSurvival(["shared"], 2_500, 3_000);
  quarantine.recordCrash(["shared"], "r/3", 3_000);
  assert.is(quarantine.check(["shared"], 20_000).kind, "free");

  const bad = createQuarantine();
  crashTimes(bad, ["bad"], 3);
  bad.recordSurvival(["bad"], 500, 3_500);
  assert.is(bad.check(["bad"], 10_000).kind, "quarantined");
});

test("a part that went well before is judged once news from elsewhere could arrive", () => {
  const quarantine = createQuarantine();
  quarantine.recordSurvival(["shared"], 100, 600);
  for (const at of [1, 2, 3]) {
    quarantine.recordCrash(["shared"], `r/${at}`, 1_000 + at);
  }
  assert.is(quarantine.check(["shared"], 1_100).kind, "free");
  assert.is(quarantine.check(["shared"], 3_000).kind, "quarantined");
});

test("a part whose crashes a part that never went well explains is free", () => {
  const quarantine = createQuarantine();
  quarantine.recordSurvival(["shared"], 100, 600);
  crashTimes(quarantine, ["shared", "bad"], 3);
  assert.is(quarantine.check(["shared"], 20_000).kind, "free");
  assert.is(quarantine.check(["shared", "bad"], 20_000).kind, "quarantined");
});

test("a part that was only beside a quarantined one comes free with the next crash", () => {
  const quarantine = createQuarantine();
  crashTimes(quarantine, ["beside", "bad"], 3);
  assert.is(quarantine.check(["beside", "bad"], 3_100).kind, "quarantined");
  quarantine.recordCrash(["bad"], "r/4", 4_000);
  assert.is(quarantine.check(["beside"], 4_100).kind, "free");
  assert.is(quarantine.check(["bad"], 4_100).kind, "quarantined");
});

test("a request with only one of two parts that were at all crashes tells them apart", () => {
  const quarantine = createQuarantine(false);
  crashTimes(quarantine, ["beside", "bad"], 3);
  assert.is(quarantine.check(["beside", "bad"], 3_100).kind, "quarantined");
  assert.is(quarantine.check(["beside"], 3_100).kind, "probe");
  assert.is(quarantine.check(["beside"], 3_200).kind, "quarantined");
  quarantine.recordSurvival(["beside"], 3_200, 3_700);
  assert.is(quarantine.check(["beside"], 3_800).kind, "free");
  assert.is(quarantine.check(["bad"], 3_800).kind, "quarantined");
});

test("only the node that sends a request's probes tells it from one beside it", () => {
  for (const isProber of [true, false]) {
    const quarantine = createQuarantine(isProber);
    const now = crashTimes(quarantine, ["request:a", "request:b"], 3);
    const verdict = quarantine.check(["request:a"], now + 500);
    assert.is(verdict.kind, isProber ? "probe" : "quarantined");
  }
});

test("two parts that crash replicas at the same time are both refused", () => {
  const quarantine = createQuarantine();
  for (const at of [1, 2, 3, 4, 5]) {
    quarantine.recordCrash(["one"], `a/${at}`, at * 1_000);
    if (at > 2) quarantine.recordCrash(["two"], `b/${at}`, at * 1_000);
  }
  assert.is(quarantine.check(["one"], 6_000).kind, "quarantined");
  assert.is(quarantine.check(["two"], 6_000).kind, "quarantined");
});

test("probes come at growing intervals, from one node, and free a part that goes well", () => {
  const quarantine = createQuarantine();
  const crashed = crashTimes(quarantine, ["bad"], 3);
  const probeAt = crashed + 60_000;
  assert.is(quarantine.check(["bad"], probeAt - 1).kind, "quarantined");
  assert.is(quarantine.check(["bad"], probeAt).kind, "probe");
  assert.is(quarantine.check(["bad"], probeAt + 1).kind, "quarantined");
  quarantine.recordCrash(["bad"], "r/9", probeAt + 100);
  const next = probeAt + 100 + 240_000;
  assert.is(quarantine.check(["bad"], next - 1).kind, "quarantined");
  assert.is(quarantine.check(["bad"], next).kind, "probe");
  quarantine.recordSurvival(["bad"], next + 50, next + 600);
  assert.is(quarantine.check(["bad"], next + 700).kind, "free");

  const other = createQuarantine(false);
  crashTimes(other, ["bad"], 3);
  assert.is(other.check(["bad"], probeAt).kind, "quarantined");
});

test("a broken request is repeated unless a part that never went well broke others too", () => {
  const quarantine = createQuarantine();
  quarantine.recordSurvival(["shared"], 100, 600);
  const brokenOn = new Set(["r/1", "r/2"]);
  quarantine.recordCrash(["shared", "own"], "r/1", 1_000);
  quarantine.recordCrash(["shared", "own"], "r/2", 1_100);
  assert.is(quarantine.mayRepeat(["shared", "own"], brokenOn, 1_100), true);
  quarantine.recordCrash(["shared", "own"], "r/3", 1_200);
  assert.is(quarantine.mayRepeat(["shared", "own"], brokenOn, 1_200), false);

  const other = createQuarantine();
  other.recordCrash(["bad"], "r/1", 1_000);
  other.recordCrash(["bad"], "r/2", 1_100);
  assert.is(other.mayRepeat(["bad"], new Set(["r/2"]), 1_100), false);
  assert.is(other.mayRepeat(["good"], new Set(["r/2"]), 1_100), true);
  assert.is(other.mayRepeat(["bad"], new Set(), 1_100), true);
});

test("requests that are the same may be repeated until replicas crash under them three times", () => {
  const quarantine = createQuarantine();
  const now = crashTimes(quarantine, ["request:a"], 2);
  assert.is(quarantine.mayRepeat(["request:a"], new Set(["r/1"]), now), true);
  quarantine.recordCrash(["request:a"], "r/3", 3_000);
  assert.is(
    quarantine.mayRepeat(["request:a"], new Set(["r/3"]), 3_000),
    false,
  );
});

test("a part that went well is in quarantine soon after it began to crash replicas", () => {
  const result = QuarantineSimulation.create({ nodes: 7, hops: 1, seed: 7 })
    .run({
      durationMs: 40_000,
      soundPerSecond: 20,
      badPerSecond: 2,
      badFromMs: 10_000,
    });
  assert.ok(result.crashes >= 3, `${result.crashes} crashes`);
  assert.ok(result.sentLate <= 3, `${result.sentLate} sent late`);
  assert.is(result.soundRefused, 0);
});

test("a part is forgotten once no request with it has come for ten minutes", () => {
  const quarantine = createQuarantine();
  const changes: QuarantineChange[] = [];
  quarantine.onChanged((change) => changes.push(change));
  crashTimes(quarantine, ["bad"], 3);
  quarantine.check(["bad"], 300_000);
  quarantine.refresh(800_000);
  assert.is(quarantine.size, 1);
  quarantine.refresh(1_000_000);
  assert.is(quarantine.size, 0);
  assert.equal(changes.map(({ kind, part }) => [kind, part]), [
    ["entered", "bad"],
    ["left", "bad"],
  ]);
});

test("what is told is bounded, and names the parts in quarantine first", () => {
  const quarantine = createQuarantine();
  crashTimes(quarantine, ["bad"], 20);
  for (let at = 0; at < 5_000; at += 1) {
    quarantine.recordCrash([`own-${at}`], `r/${at}`, 20_000 + at / 10);
  }
  const told = quarantine.listTold(20_600);
  assert.is(told[0]?.part, "bad");
  assert.ok(told.length <= 48);
  assert.ok(JSON.stringify(told).length < 6_000);
  assert.is(quarantine.check(["bad"], 20_600).kind, "quarantined");
});

test("a node that starts learns what is in quarantine from one peer", () => {
  const peer = createQuarantine();
  const now = crashTimes(peer, ["bad"], 6);
  const started = createQuarantine();
  started.learn(peer.listTold(now + 30_000), 500);
  const verdict = started.check(["bad"], 500);
  assert.is(verdict.kind, "quarantined");
  assert.ok(verdict.kind === "quarantined" && verdict.retryAfterMs <= 30_000);
});

test("what nodes tell each other again and again does not grow younger", () => {
  const nodes = [createQuarantine(), createQuarantine(), createQuarantine()];
  const [first] = nodes;
  first?.recordSurvival(["bad"], 500, 900);
  for (const at of [1, 2, 3]) {
    first?.recordCrash(["bad"], `r/${at}`, at * 1_000);
  }
  first?.check(["bad"], 5_000);
  const delayMs = 50;
  for (let now = 5_000; now < 120_000; now += 200) {
    const told = nodes.map((node) => node.listTold(now));
    for (const [at, node] of nodes.entries()) {
      for (const [from, parts] of told.entries()) {
        if (from !== at) node.learn(parts, now + delayMs);
      }
    }
  }
  for (const node of nodes) {
    const [part] = node.listTold(120_000);
    assert.is(part?.crashes.length, 3);
    assert.ok((part?.survivedAgeMs ?? 0) > 118_500);
    assert.ok((part?.requestedAgeMs ?? 0) > 114_000);
  }
});

for (
  const { nodes, hops, seed } of [
    { nodes: 1, hops: 1, seed: 1 },
    { nodes: 7, hops: 1, seed: 2 },
    { nodes: 13, hops: 1, seed: 3 },
    { nodes: 60, hops: 3, seed: 4 },
  ]
) {
  test(`${nodes} nodes stop sending a part that crashes replicas and go on with what shares its other parts`, () => {
    const result = QuarantineSimulation.create({ nodes, hops, seed }).run({
      durationMs: 90_000,
      soundPerSecond: 20,
      badPerSecond: 1,
    });
    assert.ok(result.crashes >= 3, `${result.crashes} crashes`);
    assert.ok(result.sentLate <= 3, `${result.sentLate} sent late`);
    assert.ok(result.crashes <= 8, `${result.crashes} crashes`);
    assert.ok(result.soundRefused === 0, `${result.soundRefused} refused`);
  });
}

test("many nodes that learn late stop sending many requests with such a part", () => {
  const result = QuarantineSimulation.create({ nodes: 195, hops: 6, seed: 6 })
    .run({ durationMs: 20_000, soundPerSecond: 60, badPerSecond: 6 });
  assert.ok(result.crashes >= 5, `${result.crashes} crashes`);
  assert.ok(result.sentLate <= 3, `${result.sentLate} sent late`);
  assert.is(result.soundRefused, 0);
});

for (const seed of [1, 2, 3]) {
  test(`a part with few sound requests beside many that crash replicas stays free (seed ${seed})`, () => {
    const result = QuarantineSimulation.create({ nodes: 7, hops: 1, seed }).run(
      { durationMs: 60_000, soundPerSecond: 1, badPerSecond: 2 },
    );
    assert.ok(result.sentLate <= 3, `${result.sentLate} sent late`);
    assert.ok(result.soundRefused <= 2, `${result.soundRefused} refused`);
  });
}

for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
  test(`after a start in the middle of crashes, shared parts are free within seconds (seed ${seed})`, () => {
    const result = QuarantineSimulation.create({ nodes: 13, hops: 1, seed })
      .run({ durationMs: 30_000, soundPerSecond: 30, badPerSecond: 6 });
    assert.ok(result.sentLate <= 3, `${result.sentLate} sent late`);
    const at = result.soundRefusedAt;
    assert.ok(at < 2 * 3_000, `sound request refused at ${at} ms`);
  });
}

test("kills of many replicas put no part in quarantine that other runs share", () => {
  const result = QuarantineSimulation.create({ nodes: 7, hops: 1, seed: 5 })
    .run({
      durationMs: 60_000,
      soundPerSecond: 40,
      badPerSecond: 0,
      killsPerSecond: 3,
    });
  assert.ok(result.kills > 100, `${result.kills} kills`);
  assert.is(result.soundRefused, 0);
});

test.run();
