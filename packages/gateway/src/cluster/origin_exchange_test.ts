import { test } from "uvu";
import * as assert from "uvu/assert";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { Random } from "@almondcrank/common/random.ts";
import { chooseAsked, chooseHolders } from "./origin_exchange.ts";

const nodeCounts = [7, 30, 195] as const;
const streams = 2_000;

for (const nodeCount of nodeCounts) {
  test(`a holder that is left is asked after a kill of many of ${nodeCount} nodes`, async () => {
    const hasher = await openHasher();
    const random = Random.create(nodeCount);
    const nodes = Array.from({ length: nodeCount }, (_, at) => `node-${at}`);
    const killed = new Set(nodes.filter(() => random.next() < 0.4));
    const alive = nodes.filter((node) => !killed.has(node));
    const askers = alive.slice(0, 2);
    for (let at = 0; at < streams; at += 1) {
      const id = `stream-${at}`;
      const beginner = random.choose(nodes);
      const holders = chooseHolders(
        hasher,
        id,
        nodes.filter((node) => node !== beginner),
      );
      const isHeld = holders.some((node) => !killed.has(node));
      if (!isHeld) continue;
      for (const asker of askers) {
        // The asking node may or may not have noticed yet who is gone.
        for (const seen of [nodes, alive]) {
          const asked = chooseAsked(
            hasher,
            id,
            seen.filter((node) => node !== asker),
          );
          const isFound = holders.some((node) =>
            !killed.has(node) && (node === asker || asked.includes(node))
          );
          assert.ok(isFound, `${id} asked by ${asker}`);
        }
      }
    }
  });
}

test("the streams are spread over all nodes", async () => {
  const hasher = await openHasher();
  const nodes = Array.from({ length: 195 }, (_, at) => `node-${at}`);
  const held = new Map<string, number>();
  for (let at = 0; at < streams; at += 1) {
    for (const node of chooseHolders(hasher, `stream-${at}`, nodes)) {
      held.set(node, (held.get(node) ?? 0) + 1);
    }
  }
  const mean = streams * 3 / nodes.length;
  assert.ok(Math.max(...held.values()) < mean * 2.5);
});

test.run();
