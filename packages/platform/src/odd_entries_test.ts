/**
 * Odd entries of another writer among the store's objects: the others hold, and no
 * entry is kept that a node could not use or pass on.
 */

import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { SystemClock } from "@almondcrank/common/clock.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import { decodeReplica } from "./decode_replica.ts";
import { PlatformStore } from "./platform_store.ts";

const sound = {
  service: "s",
  address: "10.0.0.1:80",
  zone: "z",
  version: "v1",
  slots: 8,
  state: "ready",
  "cold-remaining-ms": 0,
  "seq-no": 1,
};
const deep = `${"[".repeat(100_000)}${"]".repeat(100_000)}`;

function formatItem(name: string, spec: string): string {
  return `{"metadata":{"name":"${name}","revision":3},"spec":${spec}}`;
}

/** Lets a server listen, and opens a client of it. */
async function openStore(server: Server): Promise<PlatformStore> {
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", () => resolve());
  });
  const { port } = server.address() as AddressInfo;
  return PlatformStore.create({
    address: `127.0.0.1:${port}`,
    clock: SystemClock.create(),
    random: Random.create(1),
    metrics: Metrics.create(),
    log: createSilentLog(),
    deadlineMs: 2_000,
    longestPauseMs: 100,
  });
}

test("an entry with an address that can't be connected to names no replica", () => {
  for (
    const address of [
      "10.0.0.1:0",
      "10.0.0.1:65536",
      "10.0.0.1:99999",
      "10.0.0.1:123456789012",
      "999.0.0.1:80",
      "10.0.0.01.2:80",
    ]
  ) {
    assert.is(decodeReplica("r", { ...sound, address }), undefined, address);
  }
  assert.ok(decodeReplica("r", sound));
});

test("an entry with a number too large names no replica or leaves it out", () => {
  const huge: unknown = JSON.parse("1e999");
  for (const slots of [huge, 1e300, 2 ** 53, 1.5]) {
    assert.is(decodeReplica("r", { ...sound, slots }), undefined, `${slots}`);
  }
  const replica = decodeReplica("r", { ...sound, born: huge });
  assert.is(replica?.startedAtMs, undefined);
});

// Guards against the end of a node at its first send to such a replica.
test("an entry whose id can't be written in a header names no replica", () => {
  for (const id of ["i-\ufffd", "i-\n", "i 7", "", "\ud800", "i-\u0100"]) {
    assert.is(decodeReplica(id, sound), undefined, JSON.stringify(id));
  }
});

test("an entry with an IPv6 address names a replica", () => {
  const address = "[2001:db8::1]:8080";
  assert.is(decodeReplica("r", { ...sound, address })?.address, address);
});

// Guards against the end of all nodes that read such a page.
test("a list whose page ends with an odd name is read to its end", async () => {
  const pages = [
    `{"items":[${formatItem("a", JSON.stringify(sound))},` +
    `${formatItem("\\ud800", JSON.stringify(sound))}],` +
    `"more-pages":true,"store-revision":5}`,
    `{"items":[${formatItem("b", JSON.stringify(sound))}],"store-revision":5}`,
  ];
  const server = createServer((request, response) => {
    response.setHeader("Content-Type", "application/json");
    response.end(pages[request.url?.includes("after") ? 1 : 0]);
  });
  const store = await openStore(server);
  const list = (await store.list("servers")).unsafeCoerce();
  const decoded = list.objects.filter(({ key, value }) =>
    decodeReplica(key.slice("servers/".length), value) !== undefined
  );
  assert.equal(decoded.map(({ key }) => key), ["servers/a", "servers/b"]);
  store.dispose();
  server.close();
});

test("a list with a deeply nested entry is read, and can be passed on", async () => {
  const items = [
    formatItem("a", JSON.stringify(sound)),
    formatItem("deep", deep),
    formatItem("deep-field", `{"service":"s","more":${deep}}`),
    formatItem("b", JSON.stringify(sound)),
  ];
  const server = createServer((_request, response) => {
    response.setHeader("Content-Type", "application/json");
    response.end(`{"items":[${items.join(",")}],"store-revision":5}`);
  });
  const store = await openStore(server);
  const list = (await store.list("servers")).unsafeCoerce();
  const decoded = list.objects
    .filter(({ key, value }) => decodeReplica(key, value) !== undefined);
  assert.equal(decoded.map(({ key }) => key), ["servers/a", "servers/b"]);
  assert.ok(JSON.stringify(list.objects).length < 2_000);
  store.dispose();
  server.close();
});

test.run();
