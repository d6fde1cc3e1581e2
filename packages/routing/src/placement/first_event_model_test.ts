import { test } from "uvu";
import * as assert from "uvu/assert";
import { Random } from "@almondcrank/common/random.ts";
import { FirstEventModel } from "./first_event_model.ts";
import type { SoftwareKey } from "./request_cost.ts";

const v1: SoftwareKey = { service: "s", softwareVersion: "v1" };
const v2: SoftwareKey = { service: "s", softwareVersion: "v2" };

/** Records streams of a replica with `tokensPerMs`, whose times vary by half. */
function recordStreams(
  model: FirstEventModel,
  key: SoftwareKey,
  { tokensPerMs, count, from = 0, seed = 5 }: {
    readonly tokensPerMs: number;
    readonly count: number;
    readonly from?: number;
    readonly seed?: number;
  },
): number {
  const random = Random.create(seed);
  let now = from;
  for (let stream = 0; stream < count; stream += 1) {
    now += 100;
    const tokens = 300 + random.nextExponential(6_000);
    const active = random.nextInt(10);
    const usualMs = 20 + tokens / tokensPerMs + active;
    const observedMs = usualMs * (0.75 + random.next() / 2);
    model.record(key, { work: { tokens, active }, observedMs }, now);
  }
  return now;
}

test("before anything is observed the assumed speed holds", () => {
  const model = FirstEventModel.create();
  assert.is(model.computeTokensPerMs(v1, 0), 50);
  assert.is(model.computeMs(v1, { tokens: 5_000, active: 3 }, 0), 128);
});

test("a fast engine is learnt from small prompts, so that large ones are not taken for late", () => {
  const model = FirstEventModel.create();
  const now = recordStreams(model, v1, { tokensPerMs: 101, count: 300 });
  const speed = model.computeTokensPerMs(v1, now + 300);
  assert.ok(speed > 85 && speed < 120, `${speed}`);
  const largeMs = model.computeMs(
    v1,
    { tokens: 40_000, active: 5 },
    now + 300,
  );
  assert.ok(largeMs > 340 && largeMs < 500, `${largeMs}`);
});

test("nodes that see little learn from each other, and count nothing twice", () => {
  const nodes = Array.from({ length: 30 }, () => FirstEventModel.create());
  const told = new Map<FirstEventModel, Map<string, number>>();
  let now = 0;
  for (let round = 0; round < 20; round += 1) {
    for (const node of nodes) {
      const stream = { tokensPerMs: 20, count: 1, from: now, seed: now };
      now = recordStreams(node, v1, stream);
    }
    for (const node of nodes) {
      const last = told.get(node) ?? new Map<string, number>();
      const own = new Map(node.listOwn());
      told.set(node, own);
      for (const [name, sum] of own) {
        const change = sum - (last.get(name) ?? 0);
        for (const other of nodes) {
          if (other !== node) other.applyPeer(name, change, now);
        }
      }
    }
  }
  const alone = FirstEventModel.create();
  const end = recordStreams(alone, v1, { tokensPerMs: 20, count: 20 });
  for (const node of nodes) {
    const speed = node.computeTokensPerMs(v1, now + 300);
    assert.ok(speed > 17 && speed < 24, `${speed}`);
  }
  assert.ok(alone.computeTokensPerMs(v1, end + 300) > 20);
});

test("a release with other costs begins from the last version and learns its own", () => {
  const model = FirstEventModel.create();
  let now = recordStreams(model, v1, { tokensPerMs: 100, count: 300 });
  const before = model.computeTokensPerMs(v2, now + 300);
  assert.ok(before > 85, `${before}`);
  now = recordStreams(model, v2, { tokensPerMs: 30, count: 200, from: now });
  const slow = model.computeTokensPerMs(v2, now + 300);
  assert.ok(slow > 25 && slow < 36, `${slow}`);
  assert.ok(model.computeTokensPerMs(v1, now + 300) > 85);
});

test("a restart forgets, and learns again within some tens of streams", () => {
  const model = FirstEventModel.create();
  const now = recordStreams(model, v1, { tokensPerMs: 20, count: 40 });
  const speed = model.computeTokensPerMs(v1, now + 300);
  assert.ok(speed < 25, `${speed}`);
});

test("what was learnt fades when nothing is heard, as in a cut", () => {
  const model = FirstEventModel.create();
  const now = recordStreams(model, v1, { tokensPerMs: 200, count: 300 });
  const later = model.computeTokensPerMs(v1, now + 1_200_000);
  assert.ok(Math.abs(later - 50) < 1, `${later}`);
});

test("single streams that hang or lie do not undo what was learnt", () => {
  const model = FirstEventModel.create();
  const now = recordStreams(model, v1, { tokensPerMs: 100, count: 300 });
  const work = { tokens: 2_000, active: 1 };
  model.record(v1, { work, observedMs: 60_000 }, now);
  model.record(v1, { work, observedMs: -5 }, now);
  const speed = model.computeTokensPerMs(v1, now + 300);
  assert.ok(speed > 80 && speed < 125, `${speed}`);
});

test("sums that are malformed or were begun anew are not counted", () => {
  const model = FirstEventModel.create();
  for (const name of ["", "s", "s v1 x", "s v1 99", "s v1 -1"]) {
    model.applyPeer(name, 1_000_000, 0);
  }
  model.applyPeer("s v1 0", -5_000, 0);
  model.applyPeer("s v1 2", NaN, 0);
  assert.is(model.computeTokensPerMs(v1, 1_000), 50);
});

test("what is told is bounded however many versions there were", () => {
  const model = FirstEventModel.create();
  for (let version = 0; version < 100; version += 1) {
    recordStreams(model, { service: "s", softwareVersion: `v${version}` }, {
      tokensPerMs: 60,
      count: 1,
      from: version * 1_000,
    });
  }
  assert.ok(model.listOwn().length <= 128);
});

test.run();
