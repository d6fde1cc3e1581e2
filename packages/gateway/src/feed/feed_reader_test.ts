import { Right } from "purify-ts";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Random } from "@almondcrank/common/random.ts";
import type { ObjectStore } from "@almondcrank/infrastructure/object_store.ts";
import { FeedReader } from "./feed_reader.ts";
import { FeedState } from "./feed_state.ts";

const hasher = await openHasher();

/** Store that records the time of each read. */
function createStore(clock: ManualClock, reads: number[]): ObjectStore {
  const unused = (): never => {
    throw new Error("not used");
  };
  return {
    era: 0,
    read: unused,
    write: unused,
    remove: unused,
    list: () => {
      reads.push(clock.now());
      return Promise.resolve(Right({ version: 1, objects: [] }));
    },
    watch: async (_prefix, _since, waitMs) => {
      reads.push(clock.now());
      await clock.sleep(waitMs);
      return Right({ kind: "changes", batch: { version: 1, changes: [] } });
    },
  };
}

async function runReader(
  rank: number,
  onTick: (state: FeedState, now: number) => void,
): Promise<readonly number[]> {
  const clock = ManualClock.create();
  const reads: number[] = [];
  const state = FeedState.create(hasher);
  state.applyList({ version: 1, objects: [] }, 0);
  const reader = FeedReader.create({
    kind: "replicas",
    prefix: "servers",
    state,
    store: createStore(clock, reads),
    clock,
    random: Random.create(1),
    log: createSilentLog(),
    isFirstToRead: true,
    readRank: () => rank,
    readStatusDelayMs: () => 0,
  });
  for (let at = 0; at < 6_000; at += 25) {
    onTick(state, clock.now());
    await clock.advance(25);
  }
  reader.dispose();
  return reads;
}

test("a node does not read while a node of lower rank confirms its copy", async () => {
  const reads = await runReader(
    1,
    (state, now) => state.confirm(now - 900),
  );
  assert.is(reads.length, 0);
});

test("the next node takes over within 1.1 s and reads without a pause", async () => {
  const reads = await runReader(1, () => {});
  assert.ok((reads[0] ?? Infinity) <= 1_100, `${reads[0]}`);
  for (let at = 1; at < reads.length; at += 1) {
    const pauseMs = (reads[at] ?? 0) - (reads[at - 1] ?? 0);
    assert.ok(pauseMs <= 850, `${pauseMs} ms between reads`);
  }
});

test("a node that took over stops when its copy is confirmed again", async () => {
  const reads = await runReader(1, (state, now) => {
    if (now > 3_000) state.confirm(now - 100);
  });
  assert.ok(reads.every((at) => at <= 3_900), `${reads}`);
});

test("only one of the nodes that started together keeps reading", async () => {
  const clock = ManualClock.create();
  const reads: number[] = [];
  const nodes = [0, 1, 2, 3].map((rank) => {
    const state = FeedState.create(hasher);
    const reader = FeedReader.create({
      kind: "replicas",
      prefix: "servers",
      state,
      store: createStore(clock, reads),
      clock,
      random: Random.create(rank),
      log: createSilentLog(),
      isFirstToRead: true,
      readRank: () => rank,
      readStatusDelayMs: () => 0,
    });
    return { state, reader };
  });
  for (let at = 0; at < 12_000; at += 200) {
    // Each node reports its last confirmation and its last read to the others.
    const reported = nodes.map((
      { state },
    ) => [state.confirmedAt, state.lastReadAt]);
    nodes.forEach(({ state }, to) => {
      reported.forEach(([confirmedAt = 0, lastReadAt = 0], from) => {
        if (from === to || !Number.isFinite(confirmedAt)) return;
        state.confirm(confirmedAt);
        if (from < to) state.recordPrecedingRead(lastReadAt);
      });
    });
    await clock.advance(50 + 10 * (at % 7));
    await clock.advance(150 - 10 * (at % 7));
  }
  for (const { reader } of nodes) reader.dispose();
  const late = reads.filter((at) => at >= 4_000);
  // One reader with watches of 0.8 s reads ten times in 8 s.
  assert.ok(late.length <= 14, `${late.length} reads in 8 s`);
  assert.ok(late.length >= 8, `${late.length} reads in 8 s`);
});

test.run();
