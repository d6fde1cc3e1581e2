/**
 * Usage reports when the duty lease changes its holder: the platform must never get
 * two different reports for one window.
 */

import { Right } from "purify-ts";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { MemoryObjectStore } from "@almondcrank/infrastructure/memory_object_store.ts";
import type { Bounds } from "@almondcrank/model/gateway_settings.ts";
import type {
  DutyProof,
  UsageReport,
} from "@almondcrank/platform/platform_cloud.ts";
import { MemberTable } from "../cluster/member_table.ts";
import { UsageCounts } from "./usage_counts.ts";
import { UsageReporter } from "./usage_reporter.ts";

const bounds = { usageWindowMs: 1_000, usageDueMs: 12_000 } as Bounds;

/** Creates a node that may hold the lease; its reports are appended to `sent`. */
function createNode(
  clock: ManualClock,
  store: MemoryObjectStore,
  sent: UsageReport[],
) {
  const members = MemberTable.create("n");
  const counts = UsageCounts.create({
    windowMs: bounds.usageWindowMs,
    readWallTime: () => clock.wallTime(),
  });
  const lease: {
    fencingToken: number | undefined;
    readProof: () => DutyProof | undefined;
  } = {
    fencingToken: undefined,
    readProof: () =>
      lease.fencingToken === undefined ? undefined : {
        holder: "n",
        fencingToken: lease.fencingToken,
        isValid: () => true,
      },
  };
  const restoredAt = { value: -Infinity };
  const reporter = UsageReporter.create({
    store,
    clock,
    members,
    counts,
    bounds,
    lease,
    log: createSilentLog(),
    readRestoredAt: () => restoredAt.value,
    cloud: {
      sendUsage: (report) => {
        sent.push(report);
        return Promise.resolve(Right("accepted"));
      },
    },
  });
  return { counts, lease, members, reporter, restoredAt };
}

test("a new holder sends the same counts for each window that is still due", async () => {
  const clock = ManualClock.create();
  const store = MemoryObjectStore.create(clock);
  const sent: UsageReport[] = [];
  const first = createNode(clock, store, sent);
  const second = createNode(clock, store, sent);
  first.lease.fencingToken = 1;
  for (let elapsedSeconds = 0; elapsedSeconds < 15; elapsedSeconds += 1) {
    first.counts.recordRun("garages");
    await clock.advance(1_000);
  }
  first.lease.fencingToken = undefined;
  second.lease.fencingToken = 2;
  await clock.advance(3_000);
  first.reporter.dispose();
  second.reporter.dispose();
  const counts = new Map<number, string>();
  for (const { window, counts: usage } of sent) {
    const text = JSON.stringify(usage);
    assert.is(counts.get(window) ?? text, text, `window ${window}`);
    counts.set(window, text);
  }
  assert.ok(counts.size > 10);
});

/** Fails if two reports of one window have different counts. */
function checkEqualCounts(sent: readonly UsageReport[]): void {
  const counts = new Map<number, string>();
  for (const { window, counts: usage } of sent) {
    const text = JSON.stringify(usage);
    assert.is(counts.get(window) ?? text, text, `window ${window}`);
    counts.set(window, text);
  }
}

test("windows that a restored store forgot are not reported with other counts", async () => {
  const clock = ManualClock.create();
  const store = MemoryObjectStore.create(clock);
  const sent: UsageReport[] = [];
  const first = createNode(clock, store, sent);
  const second = createNode(clock, store, sent);
  let copy = store.copy();
  first.lease.fencingToken = 1;
  for (let second = 0; second < 15; second += 1) {
    if (second === 9) copy = store.copy();
    first.counts.recordRun("garages");
    await clock.advance(1_000);
  }
  store.restore(copy);
  second.restoredAt.value = clock.now();
  // The first node fails right then; the second one has counted nothing.
  first.lease.fencingToken = undefined;
  await clock.advance(500);
  second.lease.fencingToken = 2;
  await clock.advance(6_000);
  first.reporter.dispose();
  second.reporter.dispose();
  checkEqualCounts(sent);
  assert.ok(sent.some(({ counts }) => counts["garages"] === undefined));
});

test("a holder stores the reports again that a restored store forgot", async () => {
  const clock = ManualClock.create();
  const store = MemoryObjectStore.create(clock);
  const sent: UsageReport[] = [];
  const node = createNode(clock, store, sent);
  node.lease.fencingToken = 1;
  await clock.advance(8_000);
  const copy = store.copy();
  const before = new Set(sent.map(({ window }) => window));
  await clock.advance(4_000);
  const forgotten = sent.filter(({ window }) => !before.has(window));
  assert.ok(forgotten.length > 2);
  store.restore(copy);
  node.restoredAt.value = clock.now();
  await clock.advance(3_000);
  const record = (await store.read("duties/usage")).unsafeCoerce();
  const text = JSON.stringify(record?.value);
  for (const { window } of forgotten) assert.match(text, String(window));
  checkEqualCounts(sent);
  assert.is(
    new Set(sent.map(({ window }) => window)).size,
    sent.length,
    "no window is sent twice",
  );
  node.reporter.dispose();
});

test("a window is not reported by a holder that sees none of many known nodes", async () => {
  const clock = ManualClock.create();
  const store = MemoryObjectStore.create(clock);
  const sent: UsageReport[] = [];
  const { lease, members, counts, reporter } = createNode(clock, store, sent);
  lease.fencingToken = 1;
  // The nodes are known for 12 s after they were last seen, which is later than
  // the time for which a window waits for silent nodes.
  for (let peer = 1; peer <= 20; peer += 1) {
    const node = `node-${peer}`;
    members.introduce({ node, ip: `10.0.0.${peer}`, zone: "a" }, clock.now());
  }
  await clock.advance(1_500);
  const window = counts.readWindow();
  counts.recordRun("garages");
  await clock.advance(9_000);
  assert.equal(sent.filter((report) => report.window >= window), []);
  reporter.dispose();
});

test("a holder that the sums of the others do not reach reports nothing", async () => {
  const clock = ManualClock.create();
  const store = MemoryObjectStore.create(clock);
  const sent: UsageReport[] = [];
  const { counts, lease, members, reporter } = createNode(clock, store, sent);
  const recordPeers = (): void => {
    for (let at = 0; at < 40; at += 1) {
      members.record({
        node: `m${at}`,
        incarnation: "1",
        ip: `10.0.0.${at}`,
        zone: "z",
        isDraining: false,
        isStoreUnreachable: false,
        lastSeenAt: clock.now(),
        fencingToken: undefined,
        datagram: {
          receivedAt: clock.now(),
          sentAt: 0,
          wallTimeOffset: clock.wallTime() - clock.now(),
        },
      });
    }
  };
  lease.fencingToken = 1;
  const first = counts.readWindow();
  for (let elapsedSeconds = 0; elapsedSeconds < 5; elapsedSeconds += 1) {
    recordPeers();
    counts.recordRun("garages");
    await clock.advance(1_000);
  }
  assert.equal(sent, []);
  // The sums of the others arrive late: each node counts itself.
  const heard = [first + 1, first + 2, first + 3];
  for (const window of heard) {
    counts.applyPeerCounts({ kind: "system" }, {
      window,
      counts: { "": 40, garages: 200 },
    });
  }
  recordPeers();
  await clock.advance(1_000);
  reporter.dispose();
  assert.equal(sent.map(({ window }) => window), heard);
  for (const report of sent) assert.equal(report.counts, { garages: 201 });
});

test.run();
