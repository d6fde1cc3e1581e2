import { test } from "uvu";
import * as assert from "uvu/assert";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { MemoryObjectStore } from "@almondcrank/infrastructure/memory_object_store.ts";
import { MemberTable } from "../cluster/member_table.ts";
import { DutyLease } from "./duty_lease.ts";

const leaseMs = 3_000;
const peerCount = 20;

/**
 * Creates the lease of the first node by name among many, which it saw last at
 * `seenAt`.
 */
function createNode(seenAt: number) {
  const clock = ManualClock.create();
  const members = MemberTable.create("node-0");
  recordPeers(members, seenAt);
  const lease = DutyLease.create({
    store: MemoryObjectStore.create(clock).createClient(() => "pass"),
    clock,
    log: createSilentLog(),
    members,
    node: "node-0",
    incarnation: "1",
    leaseMs,
    isFirstStart: true,
    mayHold: () => true,
    readRestoredAt: () => -Infinity,
  });
  return { clock, members, lease };
}

function recordPeers(members: MemberTable, now: number): void {
  for (let peer = 1; peer <= peerCount; peer += 1) {
    members.record({
      node: `node-${peer}`,
      incarnation: "1",
      ip: `10.0.0.${peer}`,
      zone: "a",
      isDraining: false,
      isStoreUnreachable: false,
      lastSeenAt: now,
      fencingToken: undefined,
      datagram: { receivedAt: now, sentAt: now, wallTimeOffset: 0 },
    });
  }
}

test("a node that sees none of many known nodes does not take the duties", async () => {
  const { clock, members, lease } = createNode(-3_000);
  await clock.advance(5_000);
  assert.is(lease.fencingToken, undefined);
  recordPeers(members, clock.now());
  await clock.advance(1_000);
  assert.ok(lease.fencingToken !== undefined);
  lease.dispose();
});

test("a holder that loses sight of most nodes lets the duties lapse", async () => {
  const { clock, members, lease } = createNode(0);
  for (let elapsedMs = 0; elapsedMs < 5_000; elapsedMs += 200) {
    recordPeers(members, clock.now());
    await clock.advance(200);
  }
  assert.ok(lease.readProof() !== undefined);
  await clock.advance(1_200 + leaseMs);
  assert.is(lease.readProof(), undefined);
  assert.is(lease.fencingToken, undefined);
  lease.dispose();
});

test("a holder keeps the duties while it sees enough nodes", async () => {
  const { clock, members, lease } = createNode(0);
  for (let elapsedMs = 0; elapsedMs < 20_000; elapsedMs += 200) {
    recordPeers(members, clock.now());
    await clock.advance(200);
  }
  assert.ok(lease.readProof() !== undefined);
  lease.dispose();
});

test.run();
