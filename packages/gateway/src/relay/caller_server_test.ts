/**
 * Planned stop of a node under load: a request that has arrived is answered, also
 * when the loop stood still as the server closed.
 */

import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { SystemClock } from "@almondcrank/common/clock.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { TenantRateLimiter } from "../limits/tenant_rate_limiter.ts";
import { CallerServer } from "./caller_server.ts";
import type { RelayServices } from "./relay_services.ts";
import { StreamRegistry } from "./stream_registry.ts";

const request = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/** Keeps the event loop from running. */
function block(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

async function findFreePort(): Promise<number> {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  return port;
}

/** Creates a server that refuses all requests for want of a configuration. */
function createCallerServer(): CallerServer {
  const services: Partial<RelayServices> = {
    clock: SystemClock.create(),
    log: createSilentLog(),
    metrics: Metrics.create(),
  };
  return CallerServer.create({
    services: services as RelayServices,
    registry: StreamRegistry.create(),
    rateLimiter: TenantRateLimiter.create(0),
    readContext: () => ({
      routes: undefined,
      hasFreshConfiguration: false,
      configurationAgeMs: Infinity,
      draw: 0,
    }),
    waitUntilSynced: () => Promise.resolve(),
  });
}

test("a request that arrived before the stop is answered on an open connection", async () => {
  const server = createCallerServer();
  const port = await findFreePort();
  await server.open(`127.0.0.1:${port}`);
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => {});
  let received = "";
  socket.on("data", (data) => received += data);
  socket.write(request);
  await once(socket, "data");
  socket.write(request);
  block(20);
  void server.close();
  await new Promise((resolve) => socket.once("close", resolve));
  server.dispose();
  const answers = received.match(/HTTP\/1\.1 503 /g) ?? [];
  assert.is(answers.length, 2);
  assert.match(received, /connection: close/i);
});

test.run();
