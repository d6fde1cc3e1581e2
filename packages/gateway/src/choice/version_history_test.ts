import { test } from "uvu";
import * as assert from "uvu/assert";
import { createReplica } from "../testing/create_replica.ts";
import { ReplicaTable } from "./replica_table.ts";
import { isHistoryDue, VersionHistory } from "./version_history.ts";

const horizonMs = 60_000;
const wallTime = 1_700_000_000_000;

function createTable(versions: readonly string[]): ReplicaTable {
  const table = ReplicaTable.create({ drainMs: 2_000 });
  table.apply(
    versions.map((softwareVersion) =>
      createReplica({ id: softwareVersion, service: "models", softwareVersion })
    ),
    { now: 0, mayHaveExpired: false },
  );
  return table;
}

test("a version without an end may have served until the node started", () => {
  const history = VersionHistory.create();
  const open = { service: "models", version: "v1", endedAt: null };
  history.learn([open], { now: 1_000, wallTime });
  history.recordListed(createTable(["v2"]), 2_000);
  const list = (now: number) =>
    [...history.listVersions("models", { now, horizonMs })].sort();
  assert.equal(list(2_000), ["v1", "v2"]);
  assert.equal(list(1_000 + horizonMs), ["v1", "v2"]);
  assert.equal(list(1_001 + horizonMs), ["v2"]);
});

test("a version that ended counts until its streams cannot be taken up", () => {
  const history = VersionHistory.create();
  const learn = (version: string, agoMs: number) =>
    history.learn([
      { service: "models", version, endedAt: wallTime - agoMs },
    ], { now: 500, wallTime });
  learn("late", 20_000);
  learn("early", horizonMs + 1);
  // The clock of the node that wrote it was ahead.
  learn("ahead", -5_000);
  assert.equal(
    history.listVersions("models", { now: 500, horizonMs }),
    ["late", "ahead"],
  );
});

test("the history is written when a version begins and when it ends, and not between", () => {
  const history = VersionHistory.create();
  const compose = (table: ReplicaTable, now: number) => {
    history.recordListed(table, now);
    const times = { now, wallTime: wallTime + now, horizonMs };
    return history.compose(table, times);
  };
  const one = createTable(["v1"]);
  const first = compose(one, 0);
  assert.ok(isHistoryDue([], first));
  assert.not.ok(isHistoryDue(first, compose(one, 10_000)));
  const mixed = compose(createTable(["v1", "v2"]), 20_000);
  assert.ok(isHistoryDue(first, mixed));
  const left = createTable(["v2"]);
  const ended = compose(left, 30_000);
  assert.ok(isHistoryDue(mixed, ended));
  assert.equal(ended[0], {
    service: "models",
    version: "v1",
    endedAt: wallTime + 20_000,
  });
  // What is too old needs no write of its own.
  const later = compose(left, 200_000);
  assert.is(later.length, 1);
  assert.not.ok(isHistoryDue(ended, later));
});

test.run();
