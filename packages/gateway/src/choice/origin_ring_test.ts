import { test } from "uvu";
import * as assert from "uvu/assert";
import { OriginRing, type SegmentWrite, splitKeys } from "./origin_ring.ts";
import type { StreamOrigin } from "./stream_origins.ts";

const horizonMs = 60_000;
const origin = { service: "models", version: "v1" };

function formatKey(number: number): string {
  return number.toString(36).padStart(8, "0");
}

/** Streams with numbers from `from` on. */
function createStreams(
  from: number,
  count: number,
): ReadonlyMap<string, StreamOrigin> {
  return new Map(
    Array.from({ length: count }, (_, at) => [formatKey(from + at), origin]),
  );
}

function listKeys({ segment }: SegmentWrite): readonly string[] {
  return segment.origins.flatMap(([, , keys]) => splitKeys(keys) ?? []);
}

function takeAll(ring: OriginRing, wallTime: number): readonly SegmentWrite[] {
  const taken: SegmentWrite[] = [];
  for (;;) {
    const write = ring.take(wallTime, horizonMs);
    if (write === undefined) return taken;
    taken.push(write);
  }
}

test("a write holds what began, and a full segment is left as it is", () => {
  const ring = OriginRing.create("a");
  ring.add(createStreams(0, 200));
  const [first, ...none] = takeAll(ring, 1_000);
  assert.is(none.length, 0);
  assert.ok(first !== undefined && listKeys(first).length === 200);
  ring.add(createStreams(200, 100));
  assert.equal(takeAll(ring, 1_250).map(({ slot }) => slot), [0, 1]);
  ring.add(createStreams(300, 10));
  assert.equal(takeAll(ring, 1_500).map(({ slot }) => slot), [1]);
  assert.is(takeAll(ring, 1_750).length, 0);
});

test("the ring does not grow with time and keeps each stream for the horizon", () => {
  const ring = OriginRing.create("a");
  const stored = new Map<number, SegmentWrite>();
  const perStep = 60;
  const stepMs = 1_000;
  const lastStep = 600;
  for (let step = 0; step <= lastStep; step += 1) {
    ring.add(createStreams(step * perStep, perStep));
    for (const write of takeAll(ring, step * stepMs)) {
      stored.set(write.slot, write);
    }
  }
  const kept = new Set([...stored.values()].flatMap(listKeys));
  const firstNeeded = (lastStep - horizonMs / stepMs + 1) * perStep;
  for (let at = firstNeeded; at <= lastStep * perStep; at += 1) {
    assert.ok(kept.has(formatKey(at)), `stream ${at}`);
  }
  const needed = perStep * horizonMs / stepMs / 256;
  assert.ok(stored.size <= needed + 3, `${stored.size} segments`);
});

test("a failed write is taken again, with what began since", () => {
  const ring = OriginRing.create("a");
  ring.add(createStreams(0, 5));
  const [failed] = takeAll(ring, 0);
  ring.markFailed(failed?.slot ?? -1);
  ring.add(createStreams(5, 5));
  const [again] = takeAll(ring, 250);
  assert.ok(again !== undefined && listKeys(again).length === 10);
});

test("after a restore of the store all segments that are needed are written again", () => {
  const ring = OriginRing.create("a");
  ring.add(createStreams(0, 256));
  takeAll(ring, 0);
  ring.add(createStreams(256, 256));
  takeAll(ring, horizonMs / 2);
  ring.add(createStreams(512, 1));
  takeAll(ring, horizonMs + 1);
  ring.markLost();
  const writes = takeAll(ring, horizonMs + 2);
  assert.is(writes.flatMap(listKeys).length, 257);
});

test("slots of an earlier start are used once their streams are too old", () => {
  const ring = OriginRing.create("b");
  ring.keepSlot(0, 10_000);
  ring.add(createStreams(0, 1));
  assert.equal(takeAll(ring, 20_000).map(({ slot }) => slot), [1]);
  ring.add(createStreams(1, 256));
  assert.equal(
    takeAll(ring, 10_001 + horizonMs).map(({ slot }) => slot).sort(),
    [0, 1],
  );
});

test("a slot that a late write took is left, and its streams are written elsewhere", () => {
  const ring = OriginRing.create("b");
  ring.add(createStreams(0, 3));
  const [lost] = takeAll(ring, 0);
  ring.keepSlot(lost?.slot ?? -1, 0);
  const [moved] = takeAll(ring, 250);
  assert.is(moved?.slot, 1);
  assert.ok(moved !== undefined && listKeys(moved).length === 3);
});

test("a burst that cannot be written is bounded, and what is dropped is counted", () => {
  const ring = OriginRing.create("a");
  ring.add(createStreams(0, 50_000));
  assert.is(ring.dropped, 10_000);
});

test("a stream that is complete before the write is not written", () => {
  const ring = OriginRing.create("a");
  ring.add(createStreams(0, 2));
  ring.remove(formatKey(0));
  const [write] = takeAll(ring, 0);
  assert.ok(write !== undefined);
  assert.equal(listKeys(write as SegmentWrite), [formatKey(1)]);
});

test.run();
