/**
 * What nodes tell each other of parts of prompts that crash replicas.
 */

import * as assert from "uvu/assert";
import { test } from "uvu";
import { openHasher } from "@almondcrank/common/hashing.ts";
import {
  exchangeRequest,
  exchangeResponse,
  type ToldPart,
} from "./messages.ts";
import { TestNetwork } from "./testing/test_network.ts";

const hasher = await openHasher();
const zones = ["a1", "a2", "b1", "b2", "c1"];
/** Time in which all nodes in touch know of a crash. */
const contactMs = 3_000;

const told: ToldPart = {
  part: "5c1e07a2",
  survivedAgeMs: null,
  requestedAgeMs: 20,
  crashes: [["e1@7", 40]],
};

/** Parts that each node knows, by its name. */
type Known = ReadonlyMap<string, Map<string, ToldPart>>;

async function openNetwork(
  count: number,
  lossRate = 0,
): Promise<{ network: TestNetwork; known: Known }> {
  const network = new TestNetwork({ hasher, seed: 5, lossRate });
  const known = new Map<string, Map<string, ToldPart>>();
  for (let i = 0; i < count; i++) {
    const zone = zones[i % zones.length]!;
    const name = `n${i}`;
    const { membership } = network.start(
      name,
      { zone, region: zone[0]! },
      ["n0", "n1", "n2"],
    );
    const parts = new Map<string, ToldPart>();
    known.set(name, parts);
    membership.setPartList(() => [...parts.values()]);
    membership.onParts((list) => {
      for (const part of list) parts.set(part.part, part);
    });
  }
  await network.clock.advance(15_000);
  return { network, known };
}

function countKnowing(known: Known): number {
  return [...known.values()].filter((parts) => parts.has(told.part)).length;
}

for (const count of [4, 12, 40]) {
  test(`all of ${count} nodes know a part soon after one of them`, async () => {
    const { network, known } = await openNetwork(count);
    known.get(`n${count - 1}`)?.set(told.part, told);
    await network.clock.advance(contactMs);
    assert.is(countKnowing(known), count);
    assert.equal(known.get("n0")?.get(told.part), told);
    network.dispose();
  });
}

test("a part is told although messages are lost", async () => {
  const { network, known } = await openNetwork(12, 0.2);
  known.get("n3")?.set(told.part, told);
  await network.clock.advance(2 * contactMs);
  assert.is(countKnowing(known), 12);
  network.dispose();
});

test("messages of nodes without parts are as those of older nodes", async () => {
  const { network, known } = await openNetwork(4);
  const { membership } = network.find("n0");
  const request = exchangeRequest.parse({
    node: "n1",
    incarnation: network.find("n1").identity.incarnation,
    zone: "a2",
    version: 1,
    revision: 0,
    scope: "all",
    cursor: 0,
    checksum: 0,
    seen: {},
  });
  assert.not.ok("parts" in membership.handleExchange(request));
  known.get("n0")?.set(told.part, told);
  const answer = membership.handleExchange(request);
  assert.equal(answer.parts, [told]);
  const older = exchangeResponse.unwrap().omit({ parts: true });
  assert.not.ok("parts" in older.parse(answer));
  network.dispose();
});

test.run();
