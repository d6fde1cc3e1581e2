import * as assert from "uvu/assert";
import { test } from "uvu";
import { PrefixIndex } from "./prefix_index.ts";

test("the deepest holders come first, each once", () => {
  const index = PrefixIndex.create(1_024);
  index.recordSend([1, 2, 3], "a");
  index.recordSend([1, 2, 3, 4], "b");
  index.recordSend([1, 9], "c");
  const match = index.find([1, 2, 3, 4, 5], 4);
  assert.equal(match.holders, [
    { endpoint: "b", blocks: 4 },
    { endpoint: "a", blocks: 3 },
    { endpoint: "c", blocks: 1 },
  ]);
  assert.is(match.seenBlocks, 4);
});

test("a block that three others follow is shared", () => {
  const index = PrefixIndex.create(1_024);
  index.recordSend([1, 2, 30], "a");
  index.recordSend([1, 2, 40], "a");
  assert.is(index.find([1, 2, 50], 4).sharedBlocks, 0);
  index.recordSend([1, 2, 50], "a");
  assert.is(index.find([1, 2, 60], 4).sharedBlocks, 2);
  assert.is(index.find([7], 4).sharedBlocks, 0);
});

test("the end of a shared prefix is exact between kept blocks", () => {
  const shared = Array.from({ length: 27 }, (_, i) => i + 1);
  const index = PrefixIndex.create(1_024);
  for (const own of [100, 200, 300]) {
    const chain = [...shared, own, own + 1, own + 2, own + 3, own + 4];
    index.recordSend(chain, "a");
  }
  assert.is(index.find([...shared, 400, 401], 4).sharedBlocks, 27);
});

test("events correct known blocks, and a gap forgets the endpoint", () => {
  const index = PrefixIndex.create(1_024);
  index.recordSend([1, 2], "a");
  index.recordSend([1], "b");
  const evicted = { sequence: 5, kind: "evicted" as const, blocks: [2, 77] };
  assert.ok(index.recordCacheEvents("a", { sequence: 5, events: [evicted] }));
  assert.is(index.find([1, 2], 4).holders[0]?.blocks, 1);
  const stored = { sequence: 7, kind: "stored" as const, blocks: [2] };
  const gap = { sequence: 7, events: [stored] };
  assert.not.ok(index.recordCacheEvents("a", gap));
  assert.equal(index.find([1, 2], 4).holders, [{ endpoint: "b", blocks: 1 }]);
  const late = { sequence: 8, kind: "stored" as const, blocks: [2] };
  assert.ok(index.recordCacheEvents("a", { sequence: 8, events: [late] }));
  assert.is(index.find([1, 2], 4).holders[0]?.endpoint, "a");
});

test("an empty batch that jumps ahead is a gap", () => {
  const index = PrefixIndex.create(1_024);
  index.recordSend([1], "a");
  assert.ok(index.recordCacheEvents("a", { sequence: 3, events: [] }));
  assert.not.ok(index.recordCacheEvents("a", { sequence: 4, events: [] }));
  assert.equal(index.find([1], 4).holders, []);
});

test("memory stays fixed and old blocks make room", () => {
  const index = PrefixIndex.create(256);
  const { byteLength: bytes } = index;
  for (let block = 1; block < 10_000; block++) index.recordSend([block], "a");
  assert.is(index.byteLength, bytes);
  assert.equal(index.find([1], 4).holders, []);
  assert.is(index.find([9_999], 4).holders.length, 1);
});

test.run();
