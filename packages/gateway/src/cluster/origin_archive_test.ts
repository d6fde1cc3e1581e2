import { test } from "uvu";
import * as assert from "uvu/assert";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import {
  type InjectedOutcome,
  MemoryObjectStore,
} from "@almondcrank/infrastructure/memory_object_store.ts";
import type { ObjectStore } from "@almondcrank/infrastructure/object_store.ts";
import { StreamOrigins } from "../choice/stream_origins.ts";
import { MemberTable } from "./member_table.ts";
import { OriginArchive } from "./origin_archive.ts";
import { OriginExchange } from "./origin_exchange.ts";

const horizonMs = 60_000;
const first = { service: "models", version: "v1" };
const second = { service: "models", version: "v2" };

function formatKey(number: number): string {
  return number.toString(36).padStart(8, "0");
}

/** Nodes on one store and one clock. */
class ArchiveSetup {
  readonly clock = ManualClock.create();
  readonly store = MemoryObjectStore.create(this.clock);
  readonly metrics = Metrics.create();
  #starts = 0;

  openNode(
    node: string,
    { store = this.store as ObjectStore, nodes = 3 } = {},
  ): OriginArchive {
    this.#starts += 1;
    const archive = OriginArchive.create({
      store,
      readEra: () => store.era,
      clock: this.clock,
      readWallTime: () => this.clock.wallTime(),
      node,
      incarnation: `${node}/${this.#starts}`,
      countNodes: () => nodes,
      readHorizonMs: () => horizonMs,
      metrics: this.metrics,
      log: createSilentLog(),
    });
    archive.start();
    return archive;
  }

  /** Finds a stream while time passes. */
  async find(archive: OriginArchive, key: string) {
    const found = archive.find(key);
    await this.clock.advance(600);
    return await found;
  }

  countWrites(): number {
    return this.store.counts.get("write") ?? 0;
  }
}

test("what began shortly before all nodes ended is found by those that start", async () => {
  const setup = new ArchiveSetup();
  const nodes = ["a", "b", "c"].map((node) => setup.openNode(node));
  await setup.clock.advance(1_000);
  for (let at = 0; at < 300; at += 1) {
    const origin = at % 2 === 0 ? first : second;
    nodes[at % 3]?.record(new Map([[formatKey(at), origin]]));
    await setup.clock.advance(10);
  }
  await setup.clock.advance(250);
  for (const node of nodes) node.dispose();
  await setup.clock.advance(2_000);
  const started = setup.openNode("b");
  await setup.clock.advance(10);
  assert.ok(started.hasRead);
  for (let at = 0; at < 300; at += 1) {
    const expected = at % 2 === 0 ? first : second;
    assert.equal(await started.find(formatKey(at)), expected);
  }
});

test("a node that ends again and again loses nothing that is needed", async () => {
  const setup = new ArchiveSetup();
  for (let start = 0; start < 10; start += 1) {
    const node = setup.openNode("a");
    await setup.clock.advance(300);
    node.record(new Map([[formatKey(start), first]]));
    await setup.clock.advance(300);
    node.dispose();
    await setup.clock.advance(1_000);
  }
  const node = setup.openNode("a");
  await setup.clock.advance(10);
  for (let start = 0; start < 10; start += 1) {
    assert.equal(await node.find(formatKey(start)), first);
  }
});

test("nothing is written while nothing is recorded", async () => {
  const setup = new ArchiveSetup();
  setup.openNode("a");
  await setup.clock.advance(60_000);
  assert.is(setup.countWrites(), 0);
  assert.is(setup.store.counts.get("list"), 1);
});

for (const fault of ["unavailable", "lost_before", "lost_after"] as const) {
  test(`streams are written once the store's fault "${fault}" is over`, async () => {
    const setup = new ArchiveSetup();
    let outcome: InjectedOutcome = "pass";
    const store = setup.store.createClient(() => outcome);
    const node = setup.openNode("a", { store });
    await setup.clock.advance(500);
    outcome = fault;
    node.record(new Map([[formatKey(1), first]]));
    await setup.clock.advance(5_000);
    node.record(new Map([[formatKey(2), second]]));
    await setup.clock.advance(5_000);
    const failures = setup.metrics.readCounter("stream_origin_writes_total", {
      outcome: "failed",
    });
    assert.ok(failures > 0, `${failures}`);
    outcome = "pass";
    await setup.clock.advance(1_500);
    node.dispose();
    const next = setup.openNode("b");
    await setup.clock.advance(10);
    assert.equal(await next.find(formatKey(1)), first);
    assert.equal(await next.find(formatKey(2)), second);
  });
}

test("a search waits for a slow store a bounded time, and reads are shared", async () => {
  const setup = new ArchiveSetup();
  const store = setup.store.createClient(
    () => setup.clock.sleep(5_000).then((): InjectedOutcome => "pass"),
  );
  const node = setup.openNode("a", { store });
  await setup.clock.advance(0);
  const startedAt = setup.clock.now();
  const searches = Array.from({ length: 50 }, async () => {
    const found = await node.find(formatKey(1));
    return { found, ms: setup.clock.now() - startedAt };
  });
  await setup.clock.advance(1_000);
  for (const { found, ms } of await Promise.all(searches)) {
    assert.is(found, undefined);
    assert.ok(ms <= 500, `${ms} ms`);
  }
  assert.not.ok(node.hasRead);
  await setup.clock.advance(10_000);
  assert.is(setup.store.counts.get("list"), 1);
});

test("a miss reads again only if the copy is not recent", async () => {
  const setup = new ArchiveSetup();
  const reader = setup.openNode("a");
  const writer = setup.openNode("b");
  await setup.clock.advance(1_000);
  writer.record(new Map([[formatKey(1), first]]));
  await setup.clock.advance(500);
  assert.equal(await setup.find(reader, formatKey(1)), first);
  const reads = setup.store.counts.get("list") ?? 0;
  for (let at = 0; at < 20; at += 1) await reader.find(formatKey(9));
  assert.ok((setup.store.counts.get("list") ?? 0) <= reads + 1);
});

test("after the store came back from an older copy a running node writes again", async () => {
  const setup = new ArchiveSetup();
  const node = setup.openNode("a");
  await setup.clock.advance(500);
  node.record(new Map([[formatKey(1), first]]));
  await setup.clock.advance(500);
  const copy = setup.store.copy();
  node.record(new Map([[formatKey(2), second]]));
  await setup.clock.advance(500);
  setup.store.restore(copy);
  await setup.clock.advance(1_500);
  node.dispose();
  const next = setup.openNode("b");
  await setup.clock.advance(10);
  assert.equal(await next.find(formatKey(1)), first);
  assert.equal(await next.find(formatKey(2)), second);
});

test("torn and foreign objects are left out, the others hold", async () => {
  const setup = new ArchiveSetup();
  const put = (name: string, value: unknown) =>
    setup.store.write(`stream-origins/${name}`, value, { kind: "absent" });
  const at = setup.clock.wallTime();
  await put("x", "text");
  await put("a-0", {
    incarnation: "i",
    at,
    origins: [["models", "v1", "abc"]],
  });
  await put("a-other", { incarnation: "i", at, origins: [] });
  await put("y-0", {
    incarnation: "i",
    at,
    origins: [["models", "v1", formatKey(1) + formatKey(2)]],
  });
  const node = setup.openNode("a");
  await setup.clock.advance(500);
  assert.equal(await node.find(formatKey(2)), first);
  node.record(new Map([[formatKey(3), second]]));
  await setup.clock.advance(1_000);
  const next = setup.openNode("b");
  await setup.clock.advance(10);
  assert.equal(await next.find(formatKey(3)), second);
});

test("at the design size telling and writing stay within 10 KB/s a node, and all writes within their rate", async () => {
  const nodeCount = 390;
  const streamsPerSecond = 24_000 / nodeCount;
  const packetHeaderBytes = 28;
  /** Request line, headers and object around a segment. */
  const callBytes = 400;
  const seconds = 20;
  const setup = new ArchiveSetup();
  const { clock } = setup;
  let bytes = 0;
  let calls = 0;
  const store = setup.store.createClient(() => "pass");
  const { write } = store;
  store.write = (key, value, condition) => {
    calls += 1;
    bytes += JSON.stringify(value).length + callBytes;
    return write.call(store, key, value, condition);
  };
  const archive = setup.openNode("self", { store, nodes: nodeCount });
  const members = MemberTable.create("self");
  for (let at = 0; at < nodeCount; at += 1) {
    const node = `node-${at}`;
    members.introduce({ node, ip: node, zone: "a" }, clock.now());
  }
  const exchange = OriginExchange.create({
    clock,
    membersClock: ManualClock.create(),
    hasher: await openHasher(),
    origins: StreamOrigins.create(),
    members,
    versions: {
      isMixed: () => true,
      hasMixedService: true,
      adoptHistory: () => {},
    },
    archive,
    controlPort: 0,
  });
  exchange.onSend((datagram) =>
    bytes += datagram.bytes.length + packetHeaderBytes
  );
  const random = Random.create(1);
  for (let at = 0; at < seconds * streamsPerSecond; at += 1) {
    await clock.advance(random.nextExponential(1_000 / streamsPerSecond));
    const id = random.nextInt(2 ** 31).toString(16).padStart(16, "0");
    exchange.begin(id, second);
  }
  await clock.advance(1_000);
  const bytesPerSecond = bytes / seconds;
  assert.ok(bytesPerSecond < 10_000, `${bytesPerSecond} B/s`);
  const callsPerSecond = calls / seconds * nodeCount;
  assert.ok(callsPerSecond <= 220, `${callsPerSecond} writes/s`);
});

test.run();
