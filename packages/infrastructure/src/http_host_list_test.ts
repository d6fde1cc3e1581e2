/**
 * The host list over HTTP, with odd entries among the hosts.
 */

import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { SystemClock } from "@almondcrank/common/clock.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import { HttpHostList } from "./http_host_list.ts";

test("an odd entry does not hide the other hosts", async () => {
  const host = (name: string): string =>
    JSON.stringify({
      host: name,
      zone: "z",
      machineClass: "m",
      market: "reclaimable",
      state: "leaving",
    });
  const deep = `${"[".repeat(100_000)}${"]".repeat(100_000)}`;
  const hosts = [host("a"), deep, "7", `{"host":1e999}`, "null", host("b")];
  const server = createServer((_request, response) => {
    response.end(`{"asOf":1,"hosts":[${hosts.join(",")}]}`);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", () => resolve());
  });
  const { port } = server.address() as AddressInfo;
  const list = HttpHostList.create({
    address: `127.0.0.1:${port}`,
    clock: SystemClock.create(),
    random: Random.create(1),
    metrics: Metrics.create(),
    log: createSilentLog(),
    deadlineMs: 2_000,
    longestPauseMs: 100,
  });
  const listing = (await list.list()).unsafeCoerce();
  assert.equal(listing.hosts.map(({ host }) => host), ["a", "b"]);
  list.dispose();
  server.close();
});

test.run();
