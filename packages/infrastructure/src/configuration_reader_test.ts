import * as assert from "uvu/assert";
import { test } from "uvu";
import type { Endpoint } from "@almondcrank/common/configuration.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import {
  encodeStoredValue,
  headKey,
  rentedPrefix,
} from "./configuration_codec.ts";
import { ConfigurationReader } from "./configuration_reader.ts";
import { MemoryObjectStore } from "./memory_object_store.ts";

const service = {
  kind: "plain",
  name: "booking",
  idempotentMethods: ["GET"],
  timeoutMs: 1_000,
} as const;

function createEndpoint(name: string): Endpoint {
  return {
    name,
    service: "booking",
    address: "127.0.0.1:1",
    host: name,
    zone: "muc-1",
    machineClass: "small",
    market: "reclaimable",
    checksFencing: true,
  };
}

function createHead(endpoints: readonly Endpoint[]): unknown {
  return encodeStoredValue({
    writes: [],
    configuration: {
      teams: [],
      models: [],
      adapters: [],
      services: [service],
      endpoints,
    },
  });
}

async function writeHead(
  store: MemoryObjectStore,
  endpoints: readonly Endpoint[],
): Promise<void> {
  const current = (await store.read(headKey)).unsafeCoerce();
  await store.write(
    headKey,
    createHead(endpoints),
    current === undefined
      ? { kind: "absent" }
      : { kind: "version", version: current.version },
  );
}

test("an empty store gives revision 0", async () => {
  const reader = ConfigurationReader.create(
    MemoryObjectStore.create(ManualClock.create()),
  );
  assert.is((await reader.read()).unsafeCoerce().revision, 0);
});

test("rented endpoints are merged and raise the revision", async () => {
  const store = MemoryObjectStore.create(ManualClock.create());
  const reader = ConfigurationReader.create(store);
  await writeHead(store, [createEndpoint("a")]);
  const first = (await reader.read()).unsafeCoerce();
  const rented = encodeStoredValue({ endpoints: [createEndpoint("r")] });
  await store.write(`${rentedPrefix}muc-1`, rented, { kind: "absent" });
  const second = (await reader.wait(first.revision, 1)).unsafeCoerce();
  assert.equal(second?.endpoints.map(({ name }) => name), ["a", "r"]);
  assert.is(second?.revision, first.revision + 1);
});

test("thousands of endpoints are encoded and decoded back", async () => {
  const store = MemoryObjectStore.create(ManualClock.create());
  const endpoints = Array.from(
    { length: 3_000 },
    (_, i) => createEndpoint(`endpoint-${i}`),
  );
  await writeHead(store, endpoints);
  const read = (await ConfigurationReader.create(store).read()).unsafeCoerce();
  assert.equal(read.endpoints, endpoints);
});

test("after an expired history the reader lists again", async () => {
  const store = MemoryObjectStore.create(ManualClock.create());
  const reader = ConfigurationReader.create(store);
  await writeHead(store, []);
  const first = (await reader.read()).unsafeCoerce();
  await writeHead(store, [createEndpoint("a")]);
  store.compactHistory();
  const next = (await reader.wait(first.revision, 1)).unsafeCoerce();
  assert.is(next?.endpoints.length, 1);
});

test("a wait that ends without a change returns undefined", async () => {
  const clock = ManualClock.create();
  const store = MemoryObjectStore.create(clock);
  const reader = ConfigurationReader.create(store);
  await writeHead(store, []);
  const first = (await reader.read()).unsafeCoerce();
  const waiting = reader.wait(first.revision, 1_000);
  await clock.advance(1_000);
  assert.is((await waiting).unsafeCoerce(), undefined);
});

test("a stale list does not lower the revision", async () => {
  const clock = ManualClock.create();
  const stale = MemoryObjectStore.create(clock);
  const store = MemoryObjectStore.create(clock);
  await writeHead(stale, []);
  await writeHead(store, []);
  await writeHead(store, [createEndpoint("a")]);
  let source = store;
  const client = store.createClient(() => "pass");
  client.list = (prefix) => source.list(prefix);
  const reader = ConfigurationReader.create(client);
  await reader.read();
  source = stale;
  const read = (await reader.read()).unsafeCoerce();
  assert.is(read.revision, 2);
  assert.is(read.endpoints.length, 1);
});

test("an invalid head is an error and the last valid one is kept", async () => {
  const store = MemoryObjectStore.create(ManualClock.create());
  const reader = ConfigurationReader.create(store);
  await writeHead(store, [createEndpoint("a")]);
  const first = (await reader.read()).unsafeCoerce();
  const version = first.revision;
  await store.write(headKey, { nonsense: 1 }, { kind: "version", version });
  assert.is((await reader.wait(version, 1)).isLeft(), true);
  await writeHead(store, [createEndpoint("a"), createEndpoint("b")]);
  const recovered = (await reader.wait(version, 1)).unsafeCoerce();
  assert.is(recovered?.endpoints.length, 2);
});

/** Writes a release whose head lists the writes so far. */
async function writeRelease(
  store: MemoryObjectStore,
  writeIds: readonly string[],
): Promise<void> {
  const current = (await store.read(headKey)).unsafeCoerce();
  const head = encodeStoredValue({
    writes: writeIds.map((writeId, base) => ({ writeId, base, changes: [] })),
    configuration: {
      teams: [],
      models: [],
      adapters: [],
      services: [service],
      endpoints: writeIds.map(createEndpoint),
    },
  });
  await store.write(
    headKey,
    head,
    current === undefined
      ? { kind: "absent" }
      : { kind: "version", version: current.version },
  );
}

test("a release that a restored store forgot stays in force and is stored again", async () => {
  const store = MemoryObjectStore.create(ManualClock.create());
  const readers = [1, 2, 3].map(() => ConfigurationReader.create(store));
  await writeRelease(store, ["one"]);
  const copy = store.copy();
  await writeRelease(store, ["one", "two"]);
  for (const reader of readers) await reader.read();
  store.restore(copy);
  for (const reader of readers) {
    const names = (await reader.read()).unsafeCoerce().endpoints
      .map(({ name }) => name);
    assert.equal(names, ["one", "two"]);
  }
  const fresh = ConfigurationReader.create(store);
  const stored = (await fresh.read()).unsafeCoerce();
  assert.equal(stored.endpoints.map(({ name }) => name), ["one", "two"]);
  assert.is(store.counts.get("write"), 3, "it is stored again once");
  await writeRelease(store, ["one", "two", "three"]);
  const last = (await readers[0]!.read()).unsafeCoerce();
  assert.is(last.endpoints.length, 3);
});

test("a head that a restored store lacks is stored again", async () => {
  const store = MemoryObjectStore.create(ManualClock.create());
  const copy = store.copy();
  const reader = ConfigurationReader.create(store);
  await writeRelease(store, ["one"]);
  const before = (await reader.read()).unsafeCoerce();
  store.restore(copy);
  const after = (await reader.read()).unsafeCoerce();
  assert.is(after.endpoints.length, 1);
  assert.ok(after.revision >= before.revision);
  const stored = (await store.read(headKey)).unsafeCoerce();
  assert.ok(stored !== undefined);
});

test.run();
