import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Replica } from "@almondcrank/model/replica.ts";
import { ReplicaTable } from "./replica_table.ts";

function createReplica(change: Partial<Replica> = {}): Replica {
  return {
    id: "r1",
    service: "s",
    address: "10.0.0.1:80",
    zone: "a",
    slots: 4,
    state: "ready",
    startedAtMs: 1,
    isReclaimable: false,
    leavesInMs: undefined,
    ...change,
  };
}

const calm = { mayHaveExpired: false };

test("a replica that drains or goes takes nothing new at once", () => {
  const table = ReplicaTable.create({ drainMs: 2_000 });
  const left: string[] = [];
  table.onLeaving((state) => left.push(state.replica.id));
  table.apply([createReplica(), createReplica({ id: "r2" })], {
    now: 0,
    ...calm,
  });
  assert.is(table.listUsable("s").length, 2);
  table.apply([createReplica({ state: "draining", leavesInMs: 700 })], {
    now: 100,
    ...calm,
  });
  assert.is(table.listUsable("s").length, 0);
  assert.equal(left.sort(), ["r1", "r2"]);
  assert.is(table.find("r1/1")?.leavesAt, 800);
});

test("an early heartbeat that arrives late does not end a drain", () => {
  const table = ReplicaTable.create({ drainMs: 2_000 });
  table.apply([createReplica({ state: "draining" })], { now: 0, ...calm });
  table.apply([createReplica({ state: "ready" })], { now: 10, ...calm });
  assert.is(table.listUsable("s").length, 0);
});

test("an id that starts again is another incarnation", () => {
  const table = ReplicaTable.create({ drainMs: 2_000 });
  table.apply([createReplica()], { now: 0, ...calm });
  table.find("r1/1")?.failures.record(true, 0);
  table.apply([createReplica({ startedAtMs: 2 })], { now: 10, ...calm });
  const [state] = table.listUsable("s");
  assert.is(state?.key, "r1/2");
  assert.is(state?.failures.read(10), 0);
  assert.is(table.listUsable("s").length, 1);
});

test("entries that lapsed in an outage stay in use until they should be back", () => {
  const table = ReplicaTable.create({ drainMs: 2_000 });
  table.apply([createReplica()], { now: 0, ...calm });
  table.apply([], { now: 5_000, mayHaveExpired: true });
  assert.is(table.listUsable("s").length, 1);
  table.expire(6_400);
  assert.is(table.listUsable("s").length, 1);
  table.expire(6_600);
  assert.is(table.listUsable("s").length, 0);
  table.apply([createReplica()], { now: 7_000, ...calm });
  assert.is(table.listUsable("s").length, 1);
});

test.run();
