/**
 * Requests whose node stops, or whose key is withdrawn, while they arrive.
 *
 * A request that has arrived before a planned stop is answered, also when the loop
 * stood still as the server closed.
 */

import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { BodyBudget } from "@almondcrank/common/body_budget.ts";
import { SystemClock } from "@almondcrank/common/clock.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { ServerConnections } from "@almondcrank/common/server_connections.ts";
import { decodeConfiguration } from "@almondcrank/platform/decode_configuration.ts";
import { TenantRateLimiter } from "../limits/tenant_rate_limiter.ts";
import { RouteTable } from "../routes/route_table.ts";
import { CallerServer } from "./caller_server.ts";
import type { AdmissionContext } from "./request_admission.ts";
import { RequestBodies } from "./request_bodies.ts";
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

const noConfiguration: AdmissionContext = {
  routes: undefined,
  hasFreshConfiguration: false,
  configurationAgeMs: Infinity,
  draw: 0,
};

/** Composes the context of a configuration in force with one key. */
function composeContext(key: string): AdmissionContext {
  const configuration = decodeConfiguration({
    version: 1,
    routes: [{
      hostname: "a",
      "path-prefix": "/",
      "route-kind": "unsafe",
      service: "s",
    }],
    services: [{ name: "s" }],
    tenants: [{ name: "t", "api-keys": [key] }],
  });
  if (configuration === undefined) throw new Error("not decoded");
  return {
    routes: RouteTable.create(configuration),
    hasFreshConfiguration: true,
    configurationAgeMs: 0,
    draw: 0,
  };
}

/** Creates a server that can admit or refuse, but not relay. */
function createCallerServer(
  readContext: () => AdmissionContext,
): CallerServer {
  const services: Partial<RelayServices> = {
    clock: SystemClock.create(),
    log: createSilentLog(),
    metrics: Metrics.create(),
  };
  return CallerServer.create({
    services: services as RelayServices,
    registry: StreamRegistry.create(),
    bodies: RequestBodies.create({
      clock: SystemClock.create(),
      memoryBytes: 200_000_000,
      answers: BodyBudget.create(),
    }),
    connections: ServerConnections.create({
      clock: SystemClock.create(),
      memoryBytes: 200_000_000,
    }),
    maxConnections: 100,
    rateLimiter: TenantRateLimiter.create(0),
    readContext,
    isSynced: () => true,
    waitUntilSynced: () => Promise.resolve(),
  });
}

test("a request that arrived before the stop is answered on an open connection", async () => {
  const server = createCallerServer(() => noConfiguration);
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

for (
  const { name, later, status } of [
    { name: "is withdrawn", later: composeContext("other"), status: 401 },
    {
      name: "can no longer be checked",
      later: { ...composeContext("key"), hasFreshConfiguration: false },
      status: 503,
    },
  ]
) {
  test(`a request whose key ${name} while its body arrives is refused`, async () => {
    let context = composeContext("key");
    let reads = 0;
    const server = createCallerServer(() => {
      reads += 1;
      return context;
    });
    const port = await findFreePort();
    await server.open(`127.0.0.1:${port}`);
    const socket = connect(port, "127.0.0.1");
    socket.write(
      "POST / HTTP/1.1\r\nhost: a\r\nauthorization: Bearer key\r\n" +
        "content-length: 2\r\n\r\na",
    );
    while (reads === 0) await new Promise((resolve) => setImmediate(resolve));
    context = later;
    socket.write("b");
    const [data] = await once(socket, "data");
    socket.destroy();
    server.dispose();
    assert.match(`${data}`, `HTTP/1.1 ${status} `);
  });
}

test.run();
