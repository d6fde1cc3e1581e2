/**
 * Usage reports over changes of their holder.
 */

import { Right } from "purify-ts";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { MemoryObjectStore } from "@almondcrank/infrastructure/memory_object_store.ts";
import type { Bounds } from "@almondcrank/model/gateway_settings.ts";
import type { UsageReport } from "@almondcrank/platform/platform_cloud.ts";
import { MemberTable } from "../cluster/member_table.ts";
import { UsageCounts } from "./usage_counts.ts";
import { UsageReporter } from "./usage_reporter.ts";

const bounds = { usageWindowMs: 1_000, usageDueMs: 12_000 } as Bounds;

/** A node that may hold the duty, and the reports it sent. */
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
    readProof: () => { holder: string; fencingToken: number } | undefined;
  } = {
    fencingToken: undefined,
    readProof: () =>
      lease.fencingToken === undefined
        ? undefined
        : { holder: "n", fencingToken: lease.fencingToken },
  };
  const reporter = UsageReporter.create({
    store,
    clock,
    members,
    counts,
    bounds,
    lease,
    log: createSilentLog(),
    cloud: {
      sendUsage: (report) => {
        sent.push(report);
        return Promise.resolve(Right("accepted"));
      },
    },
  });
  return { counts, lease, reporter };
}

test("a new holder repeats each window that may still be reported", async () => {
  const clock = ManualClock.create();
  const store = MemoryObjectStore.create(clock);
  const sent: UsageReport[] = [];
  const first = createNode(clock, store, sent);
  const second = createNode(clock, store, sent);
  first.lease.fencingToken = 1;
  for (let passed = 0; passed < 15; passed += 1) {
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

test.run();
