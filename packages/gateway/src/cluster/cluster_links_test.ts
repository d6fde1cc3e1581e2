/**
 * What nodes hear of each other over links that carry a relay's reports, but not
 * all of them at one moment.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { TestSystem } from "../testing/test_system.ts";
import { createReplica } from "../testing/create_replica.ts";

/** A link of 10 Mbit/s whose queue holds some tens of milliseconds. */
const narrowLink = { bytesPerMs: 1_250, queueBytes: 65_536 };
/** A link on which the reports of a tick take most of it. */
const slowLink = { bytesPerMs: 300, queueBytes: 65_536 };
const replicas = Array.from(
  { length: 144 },
  (_, at) => createReplica({ id: `i-${hash(at)}` }),
);

function hash(seed: number): string {
  return (Math.imul(seed + 1, 2_654_435_761) >>> 0).toString(16);
}

/** Opens nodes that put load on all replicas. */
async function openLoaded(
  count: number,
  zones: number,
  link = narrowLink,
): Promise<TestSystem> {
  const system = await TestSystem.openKnown(count, zones, link);
  const now = system.clock.now();
  for (const [at, { table }] of system.nodes.entries()) {
    table.apply(replicas, { now, mayHaveExpired: false });
    for (const [index, state] of [...table.listAll()].entries()) {
      if ((index + at) % 8 !== 0) continue;
      const active = 1 + (index * at) % 3;
      state.addOwnLoad(
        { active, pendingTokens: 37 * index, activeTokens: 911 * active },
        0,
      );
    }
  }
  return system;
}

/** Breaks runs of several nodes, as the crash of one replica does. */
function crashReplica({ nodes, clock, random }: TestSystem, at: number): void {
  const incarnation = `i-${hash(at)}/1775019${hash(at + 500)}`;
  for (let run = 0; run < 12; run += 1) {
    const node = nodes[random.nextInt(nodes.length)];
    const own = [`${hash(100 * at + run)}`, `request:${hash(7 * at + run)}`];
    const parts = run === 0 ? ["bad", ...own] : [`head-${run % 4}`, ...own];
    node?.quarantine.recordCrash(parts, incarnation, clock.now());
  }
}

for (
  const { count, zones } of [
    { count: 9, zones: 4 },
    { count: 66, zones: 3 },
    { count: 390, zones: 16 },
  ]
) {
  test(`${count} nodes hear of a part that crashes replicas while reports are large`, async () => {
    const system = await openLoaded(count, zones);
    const { nodes, clock } = system;
    await clock.advance(2_000);
    for (let crash = 0; crash < 5; crash += 1) {
      crashReplica(system, crash);
      await clock.advance(200);
    }
    // What is told reaches all nodes over two relays, in ticks of 400 ms.
    await clock.advance(2_000);
    const unaware = nodes.filter(({ quarantine }) =>
      quarantine.check(["bad"], clock.now()).kind === "free"
    );
    assert.is(unaware.length, 0, `${unaware.length} nodes do not know it`);
    system.close();
  });
}

for (
  const { count, zones } of [{ count: 66, zones: 3 }, { count: 76, zones: 5 }]
) {
  test(`a relay of ${count} nodes leaves callers most of its link`, async () => {
    const system = await openLoaded(count, zones);
    const { nodes, clock } = system;
    const before = nodes.map(({ bytesSent }) => bytesSent);
    await clock.advance(4_000);
    const rates = nodes.map(({ bytesSent }, at) =>
      (bytesSent - (before[at] ?? 0)) / 4_000
    );
    const most = Math.max(...rates) / narrowLink.bytesPerMs;
    assert.ok(most <= 0.2, `${most} of the link`);
    system.close();
  });
}

test("what reports tell while they are spread over a tick does not grow younger", async () => {
  const system = await openLoaded(66, 3, slowLink);
  const { nodes, clock } = system;
  const [first] = nodes;
  first?.quarantine.recordSurvival(["bad"], clock.now(), clock.now());
  const survivedAt = clock.now();
  for (const crash of [1, 2, 3]) {
    await clock.advance(1_000);
    first?.quarantine.recordCrash(["bad"], `r/${crash}`, clock.now());
  }
  await clock.advance(12_000);
  for (const { node, quarantine } of nodes) {
    const told = quarantine.listTold(clock.now())
      .find(({ part }) => part === "bad");
    assert.is(told?.crashes.length, 3, node);
    const ageMs = clock.now() - survivedAt;
    assert.ok(Math.abs((told?.survivedAgeMs ?? 0) - ageMs) < 400, node);
  }
  system.close();
});

test.run();
