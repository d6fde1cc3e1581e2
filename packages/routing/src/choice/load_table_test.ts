import * as assert from "uvu/assert";
import { test } from "uvu";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { EndpointError } from "@almondcrank/endpoint/endpoint_error.ts";
import type { EndpointLoad } from "@almondcrank/membership/membership.ts";
import { LoadTable } from "./load_table.ts";
import { createEndpoint } from "../testing/model_setup.ts";

function createLoad(changes: Partial<EndpointLoad> = {}): EndpointLoad {
  return {
    endpoint: "e0",
    ageMs: 0,
    queued: 0,
    running: 4,
    slots: 8,
    queuedTokens: 1_000,
    prefillTokensPerSecond: 10_000,
    betweenTokensMs: 20,
    reachable: true,
    ...changes,
  };
}

function createTable() {
  const clock = ManualClock.create();
  const table = LoadTable.create({ clock });
  table.apply([createEndpoint("e0"), createEndpoint("e1")]);
  const replica = table.find("e0");
  if (replica === undefined) throw new Error("replica is missing");
  return { clock, table, replica };
}

function createFailure(kind: "unreachable" | "connection_lost") {
  return EndpointError.create({ kind, endpoint: "e0", reason: "test" });
}

test("a late report is corrected by requests sent and ended since", async () => {
  const { clock, table, replica } = createTable();
  await clock.advance(1_000);
  table.recordSend("e0", 500);
  await clock.advance(100);
  table.recordSend("e0", 500);
  table.recordEnd("e0");
  // The report was made between the two sends.
  table.record(createLoad({ ageMs: 50 }));
  assert.is(replica.computeRequests(), 4);
  // 1,000 tokens less 50 ms of draining, and 500 tokens sent since.
  assert.is(Math.round(replica.computeBacklogMs(clock.now())), 100);
  await clock.advance(60);
  assert.is(Math.round(replica.computeBacklogMs(clock.now())), 40);
});

test("an older report does not replace a newer one", async () => {
  const { clock, table, replica } = createTable();
  await clock.advance(1_000);
  table.record(createLoad({ running: 7 }));
  table.record(createLoad({ running: 1, ageMs: 500 }));
  assert.is(replica.computeRequests(), 7);
});

test("an observed excess wait raises the reported backlog and decays", async () => {
  const { clock, table, replica } = createTable();
  await clock.advance(1_000);
  table.record(createLoad({ queuedTokens: 0 }));
  for (let i = 0; i < 10; i++) table.recordFirstToken("e0", 800);
  assert.ok(replica.computeBacklogMs(clock.now()) > 700);
  await clock.advance(30_000);
  assert.ok(replica.computeBacklogMs(clock.now()) < 10);
});

test("a leaving endpoint gets no work and stays leaving", async () => {
  const { clock, table, replica } = createTable();
  const fired: number[] = [];
  table.onLeaving(({ remainingMs }) => fired.push(remainingMs));
  table.markLeaving("e0", 5_000);
  table.markLeaving("e0", 9_000);
  table.record(createLoad());
  table.recordFirstToken("e0", 0);
  table.recordFailure(createFailure("connection_lost"));
  await clock.advance(60_000);
  table.apply([createEndpoint("e0"), createEndpoint("e1")]);
  assert.not.ok(replica.isUsable(clock.now()));
  assert.equal(fired, [5_000]);
  assert.equal(table.listLeaving(), [{ endpoint: "e0", remainingMs: 0 }]);
  table.apply([{ ...createEndpoint("e0"), address: "10.0.0.2:1" }]);
  assert.ok(table.find("e0")?.isUsable(clock.now()));
});

test("a failed replica is retried by one request at a time", async () => {
  const { clock, table, replica } = createTable();
  table.recordFailure(createFailure("unreachable"));
  assert.not.ok(replica.isUsable(clock.now()));
  await clock.advance(500);
  assert.ok(replica.isUsable(clock.now()));
  table.recordSend("e0", 10);
  assert.not.ok(replica.isUsable(clock.now()));
  table.recordFirstToken("e0", 0);
  assert.is(replica.state.kind, "reachable");
});

test("a replica that a poller cannot reach is unusable", async () => {
  const { clock, table, replica } = createTable();
  table.record(createLoad({ reachable: false }));
  assert.not.ok(replica.isUsable(clock.now()));
  await clock.advance(1);
  assert.is(replica.state.kind, "unreachable");
});

test("one pause of an engine is not taken for its speed", async () => {
  const { clock, table, replica } = createTable();
  await clock.advance(1_000);
  table.record(createLoad({ betweenTokensMs: 10 }));
  table.recordTokenGap("e0", 110);
  assert.ok(replica.computeBetweenTokensMs(clock.now()) <= 20);
  for (let sample = 0; sample < 100; sample += 1) {
    table.recordTokenGap("e0", 110);
  }
  assert.ok(replica.computeBetweenTokensMs(clock.now()) >= 100);
});

test.run();
