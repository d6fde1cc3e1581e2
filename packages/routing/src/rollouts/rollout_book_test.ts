/**
 * Rules that nodes follow by what they have heard of an order, in any order.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import type { RolloutRecord } from "./rollout.ts";
import { readShare, RolloutBook, stepTtlMs } from "./rollout_book.ts";

const record: RolloutRecord = {
  order: { id: 7, service: "s", to: "v2", durationMs: 12_000 },
  from: ["v1"],
  startedAt: 0,
  state: "in_progress",
  step: {
    number: 1_000_003,
    share: 0.1,
    most: 50,
    issuedAt: 0,
    isFinishing: false,
  },
  stopReason: undefined,
};

function createBook(...records: readonly RolloutRecord[]): RolloutBook {
  const book = RolloutBook.create();
  for (const told of records) book.learn(told, 0);
  return book;
}

function withStep(change: Partial<RolloutRecord["step"]>): RolloutRecord {
  return { ...record, step: { ...record.step, ...change } };
}

test("a step that is not renewed gives the new version nothing", () => {
  const book = createBook(record);
  assert.is(book.readRule("s", ["v1", "v2"], 100).kind, "share");
  const late = book.readRule("s", ["v1", "v2"], stepTtlMs + 1);
  assert.equal(late, { kind: "not", versions: ["v2"] });
});

test("of two steps the later one counts, in whatever order they arrive", () => {
  const later = withStep({ number: 2_000_001, share: 0.02 });
  for (const told of [[record, later], [later, record]]) {
    const found = createBook(...told).find("s");
    assert.is(found === undefined ? 0 : readShare(found, 100), 0.02);
  }
});

test("a stop and an end are not undone by older news", () => {
  const stopped = { ...record, stopReason: "it fails" };
  const reverted: RolloutRecord = { ...record, state: "reverted" };
  const later = withStep({ number: 9_000_001, share: 1 });
  for (const told of [[stopped, later], [reverted, later], [later, reverted]]) {
    const rule = createBook(...told).readRule("s", ["v1", "v2"], 100);
    assert.equal(rule, { kind: "not", versions: ["v2"] });
  }
});

test("a later order replaces one that has ended", () => {
  const reverted: RolloutRecord = { ...record, state: "reverted" };
  const next: RolloutRecord = {
    ...record,
    order: { ...record.order, id: 9, to: "v3" },
  };
  for (const told of [[reverted, next], [next, reverted]]) {
    assert.is(createBook(...told).find("s")?.order.to, "v3");
  }
});

test("a version that nobody looked up waits, also one beside the first to start", () => {
  const book = RolloutBook.create();
  const unknown = book.readRule("s", ["v1", "v2"], 0);
  assert.equal(unknown, { kind: "not", versions: ["v2"] });
  book.recordChecked("s", ["v1"]);
  const waiting = book.readRule("s", ["v2", "v1"], 10);
  assert.equal(waiting, { kind: "not", versions: ["v2"] });
  book.recordChecked("s", ["v2"]);
  assert.is(book.readRule("s", ["v1", "v2"], 20).kind, "any");
});

test("a version that nobody looked up waits while the new one has a share", () => {
  const book = createBook(record);
  for (const share of [0.1, 0]) {
    book.learn(withStep({ number: share === 0 ? 9e6 : 8e6, share }), 0);
    const rule = book.readRule("s", ["v1", "v2", "v9"], 100);
    const excluded = rule.kind === "share"
      ? rule.excluded
      : rule.kind === "not"
      ? rule.versions
      : [];
    assert.ok(excluded.includes("v9"), JSON.stringify(rule));
    assert.not.ok(excluded.includes("v1"), JSON.stringify(rule));
  }
});

test("a version that nobody could look up is used after a time", () => {
  const book = RolloutBook.create();
  book.readRule("s", ["v1", "v2"], 0);
  assert.is(book.readRule("s", ["v1", "v2"], 10_001).kind, "any");
});

test.run();
