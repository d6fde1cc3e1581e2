/**
 * Lists of the platform's store that come in pages, while objects change.
 */

import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { SystemClock } from "@almondcrank/common/clock.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import { readStoreRevision } from "@almondcrank/infrastructure/store_version.ts";
import { PlatformStore } from "./platform_store.ts";

/** Pages by the name that they come after. */
const pages: Readonly<Record<string, unknown>> = {
  "": {
    items: [{ metadata: { name: "a", revision: 90 }, spec: 1 }],
    "more-pages": true,
    "store-revision": 100,
  },
  a: {
    items: [{ metadata: { name: "b", revision: 107 }, spec: 2 }],
    "more-pages": true,
    "store-revision": 108,
  },
  b: { items: [], "store-revision": 110 },
};

// Guards against changes on a page that was read, before the last one is.
test("a list in pages is complete up to the revision of its first page", async () => {
  const server = createServer((request, response) => {
    const { searchParams } = new URL(request.url ?? "/", "http://store");
    response.end(JSON.stringify(pages[searchParams.get("after") ?? ""]));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", () => resolve());
  });
  const { port } = server.address() as AddressInfo;
  const store = PlatformStore.create({
    address: `127.0.0.1:${port}`,
    clock: SystemClock.create(),
    random: Random.create(1),
    metrics: Metrics.create(),
    log: createSilentLog(),
  });
  const list = (await store.list("servers")).unsafeCoerce();
  store.dispose();
  server.close();
  assert.equal(list.objects.map(({ key }) => key), ["servers/a", "servers/b"]);
  assert.is(readStoreRevision(list.version), 100);
  assert.is(readStoreRevision(list.endVersion ?? 0), 110);
});

test.run();
