/**
 * Rules that nodes follow by what they have heard of an order, in any order.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { listBarred, type RolloutRecord } from "./rollout.ts";
import { readShare, RolloutBook, stepTtlMs } from "./rollout_book.ts";

const record: RolloutRecord = {
  order: { id: 7, service: "s", to: "v2", durationMs: 12_000 },
  from: ["v1"],
  barred: [],
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

test("barred versions are excluded in each state, and those of two holders add up", () => {
  const states = ["in_progress", "completed", "reverted"] as const;
  for (const state of states) {
    const book = createBook(
      { ...record, state, barred: ["v0"] },
      { ...record, state, barred: ["v5"] },
    );
    const rule = book.readRule("s", ["v1", "v2", "v0", "v5"], 100);
    const excluded = rule.kind === "share"
      ? rule.excluded
      : rule.kind === "not"
      ? rule.versions
      : [];
    assert.ok(excluded.includes("v0"), JSON.stringify(rule));
    assert.ok(excluded.includes("v5"), JSON.stringify(rule));
  }
});

test("an order bars what the one before did not complete", () => {
  const list = (before: RolloutRecord, to = "v3") => listBarred(before, to);
  assert.equal(list(record), ["v2"]);
  assert.equal(list({ ...record, state: "reverted" }), ["v2"]);
  assert.equal(list({ ...record, state: "completed" }), []);
  assert.equal(list({ ...record, barred: ["v0"] }), ["v0", "v2"]);
  assert.equal(list({ ...record, barred: ["v0"] }, "v0"), ["v2"]);
  assert.equal(list(record, "v2"), []);
  // Its completion may have been written, and the old replicas be gone.
  const finishing = withStep({ isFinishing: true });
  assert.equal(list(finishing), []);
  assert.equal(list({ ...finishing, stopReason: "it fails" }), ["v2"]);
  const many = ["a", "b", "c", "d"];
  assert.equal(list({ ...record, barred: many }), ["b", "c", "d", "v2"]);
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
  book.recordSeen("s", ["v1", "v2"], 0);
  assert.is(book.readRule("s", ["v1", "v2"], 9_999).kind, "not");
  assert.is(book.readRule("s", ["v1", "v2"], 10_001).kind, "any");
});

test("reading a rule does not count as seeing a version", () => {
  const book = RolloutBook.create();
  book.readRule("s", ["v1", "v2"], 0);
  const rule = book.readRule("s", ["v1", "v2"], 10_001);
  assert.equal(rule, { kind: "not", versions: ["v2"] });
});

test("versions that are no longer seen are forgotten, but not at once", () => {
  const book = RolloutBook.create();
  const versions = ["v1", "v2"];
  book.recordSeen("s", versions, 0);
  // Requests that are bound to one version see only that one.
  book.recordSeen("s", ["v1"], 8_000);
  book.forgetUnseen(8_000);
  assert.is(book.readRule("s", versions, 10_001).kind, "any");
  book.recordSeen("s", versions, 20_000);
  book.recordSeen("s", ["v1"], 90_000);
  book.forgetUnseen(90_000);
  book.recordSeen("s", versions, 91_000);
  const rule = book.readRule("s", versions, 91_000);
  assert.equal(rule, { kind: "not", versions: ["v2"] });
  for (let at = 0; at < 500; at += 1) {
    book.recordSeen(`s${at}`, [`v${at}`], at * 1_000);
    book.forgetUnseen(at * 1_000);
  }
  assert.ok(book.countSeen() <= 70, `${book.countSeen()}`);
});

test.run();
