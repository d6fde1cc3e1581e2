/**
 * Calls of a holder that was paused between making a call and sending it.
 */

import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { SystemClock } from "@almondcrank/common/clock.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import { PlatformCloud } from "./platform_cloud.ts";

test("a report whose lease lapses while its connection is made does not leave", async () => {
  let received = 0;
  const server = createServer((_, response) => {
    received += 1;
    response.end();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const cloud = PlatformCloud.create({
    address: `127.0.0.1:${port}`,
    clock: SystemClock.create(),
    random: Random.create(1),
    metrics: Metrics.create(),
    log: createSilentLog(),
  });
  let isValid = true;
  const proof = { holder: "n", fencingToken: 1, isValid: () => isValid };
  const report = { window: 1, counts: { garages: 2 } };
  const withheld = cloud.sendUsage(report, proof);
  // The connection is not established before the present turn ends.
  isValid = false;
  assert.is((await withheld).swap().unsafeCoerce().kind, "unavailable");
  assert.is(received, 0);
  isValid = true;
  assert.is((await cloud.sendUsage(report, proof)).unsafeCoerce(), "accepted");
  assert.is(received, 1);
  cloud.dispose();
  server.close();
});

test.run();
