import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Random } from "@almondcrank/common/random.ts";
import type { PlainLoad } from "@almondcrank/endpoint/plain_service.ts";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type PlainOptions, PlainServiceStandin } from "./plain_standin.ts";
import {
  callJson,
  callPart,
  type CallResult,
  waitUntil,
} from "./standin_fixture.ts";

async function runWith(
  options: Partial<PlainOptions>,
  run: (plain: PlainServiceStandin, clock: ManualClock) => Promise<void>,
): Promise<void> {
  const clock = ManualClock.create();
  const plain = await PlainServiceStandin.open({
    address: "127.0.0.1:0",
    clock,
    random: Random.create(1),
    ...options,
  });
  try {
    await run(plain, clock);
  } finally {
    plain.dispose();
  }
}

function book(
  plain: PlainServiceStandin,
  key: string,
  signal?: AbortSignal,
): Promise<CallResult> {
  return callPart(`${plain.address}/bookings`, {
    body: { slot: "muc-08:30" },
    headers: { "idempotency-key": key },
    ...(signal === undefined ? {} : { signal }),
  });
}

const instant = { serviceMs: 0 };

test("a booking that ran twice shows by key and by slot", () =>
  runWith(instant, async (plain) => {
    assert.match((await book(plain, "k1")).text, '"status":"booked"');
    assert.equal(plain.findDuplicates(), { keys: [], slots: [] });
    await book(plain, "k1");
    assert.equal(plain.findDuplicates(), {
      keys: ["k1"],
      slots: ["muc-08:30"],
    });
    const path = `${plain.address}/slots/${encodeURIComponent("muc-08:30")}`;
    const read = await callJson<{ bookings: unknown[] }>(path);
    assert.equal(read.bookings, [{ run: 1, key: "k1" }, { run: 2, key: "k1" }]);
    assert.is(plain.records[0]?.requestHash, plain.records[1]?.requestHash);
  }));

test("calls beyond the queue are declined before they run", () =>
  runWith({ concurrency: 1, queueLimit: 1 }, async (plain, clock) => {
    const first = book(plain, "k1");
    await waitUntil(() => plain.load.running === 1);
    const second = book(plain, "k2");
    await waitUntil(() => plain.load.queued === 1);
    const third = await book(plain, "k3");
    assert.is(third.kind === "answered" && third.status, 503);
    await clock.advance(30);
    await first;
    await clock.advance(30);
    assert.is((await second).kind, "answered");
    assert.equal(plain.records.map((record) => record.key), ["k1", "k2"]);
  }));

test("a caller that leaves the queue is not served, one that leaves later is", () =>
  runWith({ concurrency: 1 }, async (plain, clock) => {
    const callers = [new AbortController(), new AbortController()];
    const calls = [book(plain, "runs", callers[0]!.signal)];
    await waitUntil(() => plain.load.running === 1);
    calls.push(book(plain, "waits", callers[1]!.signal));
    await waitUntil(() => plain.load.queued === 1);
    for (const caller of callers) caller.abort();
    await Promise.all(calls);
    await waitUntil(() => plain.connections === 0);
    await clock.advance(100);
    await waitUntil(() => plain.load.running === 0);
    assert.equal(plain.records.map((record) => record.key), ["runs"]);
  }));

test("an answer is lost after the booking, a cut before it", () =>
  runWith(instant, async (plain) => {
    plain.faults.apply({ loseAnswers: "next" });
    assert.is((await book(plain, "k1")).kind, "cut");
    assert.is(plain.records.length, 1);
    plain.faults.apply({ cut: { at: "before_run", times: 1 } });
    assert.is((await book(plain, "k2")).kind, "cut");
    assert.is(plain.records.length, 1);
    plain.faults.apply({ cut: { at: "first_byte" } });
    assert.is((await book(plain, "k2")).kind, "cut");
    assert.is((await book(plain, "k3")).kind, "cut");
    assert.is(plain.records.length, 3);
  }));

test("a frozen service books late, though the caller has given up", () =>
  runWith(instant, async (plain) => {
    plain.faults.apply({ frozen: true });
    const caller = new AbortController();
    const call = book(plain, "k1", caller.signal);
    await waitUntil(() => plain.faults.waitingCount === 1);
    caller.abort();
    await call;
    assert.is(plain.records.length, 0);
    plain.faults.apply({ frozen: false });
    await waitUntil(() => plain.records.length === 1);
  }));

test("a call that runs when the service freezes takes effect once it is thawed", () =>
  runWith({ serviceMs: 10 }, async (plain, clock) => {
    const call = book(plain, "k1");
    await waitUntil(() => plain.load.running === 1);
    plain.faults.apply({ frozen: true });
    await clock.advance(1_000);
    assert.is(plain.records.length, 0);
    plain.faults.apply({ frozen: false });
    assert.is((await call).kind, "answered");
    assert.is(plain.records[0]?.at, clock.wallTime());
  }));

test("a slowdown stretches calls, and the reported load can lie", () =>
  runWith(
    { serviceMs: 10, serviceSpread: 0, loadPublishMs: 0 },
    async (plain, clock) => {
      plain.faults.apply({ slowdown: 10, loadFactor: 0 });
      const call = book(plain, "k1");
      await waitUntil(() => plain.load.running === 1);
      await clock.advance(99);
      const load = await callJson<PlainLoad>(`${plain.address}/load`);
      assert.is(load.running, 0);
      assert.is(plain.records.length, 0);
      await clock.advance(1);
      await call;
      assert.is(plain.records.length, 1);
    },
  ));

test.run();
