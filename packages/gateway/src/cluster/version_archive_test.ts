import { test } from "uvu";
import * as assert from "uvu/assert";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { MemoryObjectStore } from "@almondcrank/infrastructure/memory_object_store.ts";
import type { ObjectStore } from "@almondcrank/infrastructure/object_store.ts";
import { ReplicaTable } from "../choice/replica_table.ts";
import { createReplica } from "../testing/create_replica.ts";
import { VersionArchive } from "./version_archive.ts";

const horizonMs = 60_000;

/** Archives of nodes of different ranks on one store and one clock. */
class ArchiveSetup {
  readonly clock = ManualClock.create();
  readonly store = MemoryObjectStore.create(this.clock);
  readonly #open: VersionArchive[] = [];

  /** Starts a node that sees replicas of the given versions. */
  openNode(
    versions: readonly string[],
    { rank = 0, isFirstStart = false, store = this.store as ObjectStore } = {},
  ) {
    const { clock } = this;
    const table = ReplicaTable.create({ drainMs: 2_000 });
    const list = (listed: readonly string[]) =>
      table.apply(
        listed.map((softwareVersion) =>
          createReplica({
            id: softwareVersion,
            service: "models",
            softwareVersion,
          })
        ),
        { now: clock.now(), mayHaveExpired: false },
      );
    list(versions);
    const archive = VersionArchive.create({
      store,
      readEra: () => store.era,
      clock,
      readWallTime: () => clock.wallTime(),
      table,
      isSynced: () => true,
      isCopyCurrent: () => true,
      readHorizonMs: () => horizonMs,
      readRank: () => rank,
      isFirstStart,
      log: createSilentLog(),
    });
    archive.start();
    this.#open.push(archive);
    return { archive, list, table };
  }

  countWrites(): number {
    return this.store.counts.get("write") ?? 0;
  }

  /** Ends all nodes at once. */
  endAll(): void {
    for (const archive of this.#open) archive.dispose();
  }
}

test("a node that starts after a version has left knows of it, until its streams are too old", async () => {
  const setup = new ArchiveSetup();
  setup.openNode(["v1", "v2"], { isFirstStart: true });
  await setup.clock.advance(1_000);
  setup.endAll();
  await setup.clock.advance(3_000);
  const { archive } = setup.openNode(["v2"]);
  assert.not.ok(archive.isComplete);
  await setup.clock.advance(10);
  assert.ok(archive.isComplete);
  assert.ok(archive.isMixed("models"));
  await setup.clock.advance(horizonMs + 1_000);
  assert.not.ok(archive.isMixed("models"));
});

test("a second version that no node could record is no proof for the first", async () => {
  const setup = new ArchiveSetup();
  const { list } = setup.openNode(["v1"], { isFirstStart: true });
  await setup.clock.advance(1_000);
  list(["v1", "v2"]);
  setup.endAll();
  const { archive } = setup.openNode(["v2"]);
  await setup.clock.advance(10);
  assert.ok(archive.isMixed("models"));
});

test("with one version the history is written once, and a restart finds it complete", async () => {
  const setup = new ArchiveSetup();
  for (const rank of [0, 1, 2, 7]) {
    setup.openNode(["v1"], { rank, isFirstStart: true });
  }
  await setup.clock.advance(120_000);
  // Those that come later find the object that the first wrote.
  assert.ok(setup.countWrites() <= 3, `${setup.countWrites()} writes`);
  setup.endAll();
  const { archive } = setup.openNode(["v1"]);
  await setup.clock.advance(10);
  assert.ok(archive.isComplete);
  assert.not.ok(archive.isMixed("models"));
  assert.not.ok(archive.hasMixedService);
});

test("if the first writer is gone, the next one writes", async () => {
  const setup = new ArchiveSetup();
  setup.openNode(["v1", "v2"], { rank: 1, isFirstStart: true });
  await setup.clock.advance(2_000);
  assert.is(setup.countWrites(), 1);
});

test("a node that cannot read the history does not know, until nothing of before counts", async () => {
  const setup = new ArchiveSetup();
  const store = setup.store.createClient(() => "unavailable");
  const { archive } = setup.openNode(["v1"], { store });
  await setup.clock.advance(30_000);
  assert.not.ok(archive.isComplete);
  await setup.clock.advance(horizonMs);
  assert.ok(archive.isComplete);
});

test("a node that runs while the store is down still knows what left", async () => {
  const setup = new ArchiveSetup();
  let isDown = false;
  const store = setup.store.createClient(() => isDown ? "unavailable" : "pass");
  const { archive, list, table } = setup.openNode(["v1"], {
    store,
    isFirstStart: true,
  });
  await setup.clock.advance(1_000);
  isDown = true;
  list(["v1", "v2"]);
  await setup.clock.advance(1_000);
  list(["v2"]);
  await setup.clock.advance(40_000);
  table.expire(setup.clock.now());
  assert.equal(table.listVersions("models"), ["v2"]);
  assert.ok(archive.isMixed("models"));
  isDown = false;
  await setup.clock.advance(1_000);
  setup.endAll();
  const next = setup.openNode(["v2"]);
  await setup.clock.advance(10);
  assert.ok(next.archive.isMixed("models"));
});

test("after the store came back from an older copy the history is written again", async () => {
  const setup = new ArchiveSetup();
  const { list } = setup.openNode(["v1"], { isFirstStart: true });
  await setup.clock.advance(1_000);
  const copy = setup.store.copy();
  list(["v1", "v2"]);
  await setup.clock.advance(1_000);
  setup.store.restore(copy);
  await setup.clock.advance(1_000);
  setup.endAll();
  const { archive } = setup.openNode(["v1"]);
  await setup.clock.advance(10);
  assert.ok(archive.isMixed("models"));
});

test("a node that cannot read the history takes it over from a peer that knows it", async () => {
  const setup = new ArchiveSetup();
  const peer = setup.openNode(["v1"], { isFirstStart: true });
  await setup.clock.advance(1_000);
  const store = setup.store.createClient(() => "unavailable");
  const { archive } = setup.openNode(["v1"], { store });
  const ignorant = setup.openNode(["v1"], { store });
  await setup.clock.advance(1_000);
  archive.adoptHistory(ignorant.archive.composeHistory());
  assert.not.ok(archive.isComplete);
  archive.adoptHistory(peer.archive.composeHistory());
  assert.ok(archive.isComplete);
  assert.not.ok(archive.isMixed("models"));
  peer.list(["v1", "v2"]);
  const late = setup.openNode(["v2"], { store });
  late.archive.adoptHistory(peer.archive.composeHistory());
  assert.ok(late.archive.isMixed("models"));
});

test("a version that came and left unrecorded while all nodes ended is not taken for none", async () => {
  const setup = new ArchiveSetup();
  const { list } = setup.openNode(["v1"], { isFirstStart: true });
  await setup.clock.advance(1_000);
  // Streams begin at the new version as soon as it is listed.
  list(["v1", "v2"]);
  setup.endAll();
  const { archive } = setup.openNode(["v1"]);
  await setup.clock.advance(10);
  assert.ok(archive.isMixed("models") || !archive.isComplete);
});

test.run();
