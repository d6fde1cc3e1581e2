/**
 * Nodes that lose their links to all endpoints, alone and many at once.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { Random } from "@almondcrank/common/random.ts";
import { CutNodes } from "./cut_nodes.ts";
import { ServiceReach } from "./service_reach.ts";

function createReach(endpoints = 8): ServiceReach {
  return ServiceReach.create(() => endpoints);
}

test("a node is cut off once connections to three endpoints failed with no sign of life", () => {
  const reach = createReach();
  const cut: string[] = [];
  reach.onCut((service) => cut.push(service));
  reach.recordUnreached("s", "a", 100);
  reach.recordUnreached("s", "a", 110);
  reach.recordUnreached("s", "b", 120);
  assert.is(reach.isCut("s", 120), false);
  reach.recordHeard("s", 130);
  reach.recordUnreached("s", "c", 140);
  reach.recordUnreached("s", "d", 150);
  assert.is(reach.isCut("s", 150), false);
  reach.recordUnreached("s", "e", 160);
  assert.is(reach.isCut("s", 160), true);
  assert.is(reach.isCut("other", 160), false);
  assert.equal(cut, ["s"]);
  assert.equal(reach.listCut(170), ["s"]);
});

test("endpoints that are silent together cut a node off, one that is does not", () => {
  const reach = createReach();
  const ends = ["a", "b", "c"].map((key) => reach.openWait("s", key, 0));
  assert.is(reach.isCut("s", 700), false);
  reach.recordHeard("s", 500);
  assert.is(reach.isCut("s", 1_000), false);
  assert.is(reach.isCut("s", 1_400), true);
  ends[0]?.();
  assert.is(reach.isCut("s", 1_400), false);
});

test("a service with one endpoint counts that one, and one without none", () => {
  const single = createReach(1);
  single.recordUnreached("s", "a", 0);
  assert.is(single.isCut("s", 0), true);
  const none = createReach(0);
  none.recordUnreached("s", "a", 0);
  assert.is(none.isCut("s", 0), false);
});

test("a node that is cut off tries now and then, and is back with the first sign of life", () => {
  const reach = createReach(1);
  reach.recordUnreached("s", "a", 0);
  const granted = [0, 100, 400, 499, 500, 900, 1_000]
    .filter((now) => reach.mayTry("s", now));
  assert.equal(granted, [0, 500, 1_000]);
  reach.recordHeard("s", 1_010);
  assert.is(reach.mayTry("s", 1_020), true);
  assert.is(reach.mayTry("s", 1_021), true);
});

test("what is told of nodes expires, also while they tell each other", () => {
  const nodes = [CutNodes.create(), CutNodes.create()];
  nodes[0]?.record("x", "s", 0);
  for (let now = 200; now < 4_000; now += 200) {
    const told = nodes.map((node) => node.list(now));
    nodes[0]?.learn(told[1] ?? [], now + 5);
    nodes[1]?.learn(told[0] ?? [], now + 5);
    const isKnown = nodes[1]?.isCut("x", "s", now + 5);
    if (now <= 2_000) assert.is(isKnown, true, `${now}`);
    if (now >= 3_000) assert.is(isKnown, false, `${now}`);
  }
});

/** Requests that cut nodes serve with the help of others, from 3 s on. */
function measureServed(count: number, share: number): number {
  const random = Random.create(count);
  const nodes = Array.from({ length: count }, (_, at) => ({
    name: `n${at}`,
    isCut: at < count * share,
    reach: createReach(),
    known: CutNodes.create(),
  }));
  let sent = 0;
  let served = 0;
  for (let now = 0; now < 8_000; now += 50) {
    for (const node of nodes) {
      if (!node.isCut || random.next() > 0.4) continue;
      let isServed = false;
      if (node.reach.mayTry("s", now)) {
        const endpoint = `e${random.nextInt(8)}`;
        node.reach.recordUnreached("s", endpoint, now);
      }
      if (node.reach.isCut("s", now)) {
        const peers = nodes.filter((peer) =>
          peer !== node && !node.known.isCut(peer.name, "s", now)
        );
        for (let tries = 0; tries < 3 && !isServed; tries += 1) {
          const peer = random.choose(peers);
          isServed = !peer.isCut;
          if (!isServed) node.known.record(peer.name, "s", now);
        }
      }
      if (now < 3_000) continue;
      sent += 1;
      if (isServed) served += 1;
    }
    if (now % 400 !== 0) continue;
    // Relays pass on what they know; three ticks take it to all nodes.
    for (const { name, reach, known } of nodes) {
      for (const service of reach.listCut(now)) {
        known.record(name, service, now);
      }
    }
    const told = nodes.map(({ known }) => known.list(now));
    for (const { known } of nodes) {
      for (let from = 0; from < 4; from += 1) {
        known.learn(told[random.nextInt(count)] ?? [], now);
      }
    }
  }
  return served / sent;
}

for (const count of [9, 66, 390]) {
  test(`of ${count} nodes, those that are cut off serve their callers through the others`, () => {
    const served = measureServed(count, 0.55);
    assert.ok(served >= 0.9, `${served} served`);
  });
}

test.run();
