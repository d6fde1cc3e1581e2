import { test } from "uvu";
import * as assert from "uvu/assert";
import { openHasher } from "@almondcrank/common/hashing.ts";
import type { StoredObject } from "@almondcrank/infrastructure/object_store.ts";
import { FeedState } from "./feed_state.ts";

const hasher = await openHasher();

function createObject(name: string, version: number): StoredObject {
  return { key: `servers/${name}`, version, value: {} };
}

test("a removal makes a copy newer than the ones before it", () => {
  const reader = FeedState.create(hasher);
  const other = FeedState.create(hasher);
  const list = { version: 9, objects: [createObject("a", 3)] };
  reader.applyList(list, 0);
  other.applyList(list, 0);
  // The store tells the removed object's last revision, which is an old one.
  reader.applyBatch({
    version: 10,
    changes: [{ kind: "removed", key: "servers/a", version: 3 }],
  }, 10);
  assert.ok(reader.version.asOf > other.version.asOf);
  other.applySnapshot({ ...reader.version, objects: reader.listObjects() });
  assert.is(other.listObjects().length, 0);
  assert.is(other.version.digest, reader.version.digest);
});

test("an empty answer proves the copy and does not move the watch on", () => {
  const state = FeedState.create(hasher);
  state.applyList({ version: 9, objects: [] }, 0);
  state.applyBatch({ version: 20, changes: [] }, 500);
  assert.is(state.watchRevision, 9);
  assert.is(state.confirmedAt, 500);
  assert.is(state.version.asOf, 9);
});

test("an older list or copy changes nothing", () => {
  const state = FeedState.create(hasher);
  state.applyList({ version: 9, objects: [createObject("a", 3)] }, 0);
  state.applyList({ version: 8, objects: [] }, 10);
  state.applySnapshot({ asOf: 9, digest: 1, objects: [] });
  assert.is(state.listObjects().length, 1);
  assert.is(state.confirmedAt, 0);
});

test.run();
