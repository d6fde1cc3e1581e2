import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { Buffer } from "node:buffer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { SystemClock } from "@almondcrank/common/clock.ts";
import {
  type Configuration,
  emptyConfiguration,
  type Endpoint,
} from "@almondcrank/common/configuration.ts";
import { EndpointClients } from "./endpoint_clients.ts";

const never = new AbortController().signal;

/** An endpoint that begins answers and ends them when the test says so. */
interface SlowEndpoint {
  readonly endpoint: Endpoint;
  readonly server: Server;
  readonly begun: Promise<ServerResponse>;
}

async function openSlowEndpoint(): Promise<SlowEndpoint> {
  let begin = (_: ServerResponse): void => {};
  const begun = new Promise<ServerResponse>((resolve) => begin = resolve);
  const server = createServer((request: IncomingMessage, response) => {
    request.resume();
    response.write(formatToken(0));
    begin(response);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return { endpoint: createEndpoint(port), server, begun };
}

function createEndpoint(port: number): Endpoint {
  return {
    name: "e0",
    service: "assistant",
    address: `127.0.0.1:${port}`,
    host: "host-0",
    zone: "muc-1",
    machineClass: "a",
    market: "on_demand",
    checksFencing: false,
  };
}

function formatToken(index: number): string {
  return JSON.stringify({ kind: "token", index, text: ` ${index}` }) + "\n";
}

const endEvent = JSON.stringify({
  kind: "end",
  reason: "stop",
  usage: {
    promptTokens: 1,
    cachedTokens: 0,
    computedTokens: 1,
    outputTokens: 2,
  },
}) + "\n";

async function generate(
  clients: EndpointClients,
  endpoint: Endpoint,
): Promise<string[]> {
  const seen: string[] = [];
  const events = clients.findEngine(endpoint).generate({
    id: "a1",
    model: "m",
    prompt: "one",
    tokensSoFar: [],
    maxTokens: 8,
    priority: 0,
    remainingMs: 5_000,
  }, never);
  for await (const item of events) {
    item.caseOf({
      Left: ({ kind }) => seen.push(kind),
      Right: ({ kind }) => seen.push(kind),
    });
  }
  return seen;
}

async function callPlain(
  clients: EndpointClients,
  endpoint: Endpoint,
): Promise<string> {
  const answer = await clients.findPlain(endpoint).call({
    method: "POST",
    path: "/slots",
    contentType: undefined,
    body: Buffer.from("book"),
    idempotencyKey: undefined,
    priority: 0,
    remainingMs: 5_000,
  }, never);
  return answer.caseOf({
    Left: ({ kind }) => kind,
    Right: ({ status }) => `${status}`,
  });
}

async function closeServer(server: Server): Promise<void> {
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
}

function createConfiguration(endpoints: readonly Endpoint[]): Configuration {
  return { ...emptyConfiguration, endpoints };
}

test("a stream goes on when a configuration drops its endpoint", async () => {
  const { endpoint, server, begun } = await openSlowEndpoint();
  const clients = EndpointClients.create(SystemClock.create());
  clients.apply(createConfiguration([endpoint]));
  const seen = generate(clients, endpoint);
  const response = await begun;
  clients.apply(createConfiguration([]));
  response.write(formatToken(1));
  response.end(endEvent);
  assert.equal(await seen, ["token", "token", "end"]);
  clients.dispose();
  await closeServer(server);
});

test("a stream goes on when a configuration moves its endpoint's name", async () => {
  const { endpoint, server, begun } = await openSlowEndpoint();
  const clients = EndpointClients.create(SystemClock.create());
  const seen = generate(clients, endpoint);
  const response = await begun;
  clients.findEngine({ ...endpoint, address: "127.0.0.1:1" });
  response.end(endEvent);
  assert.equal(await seen, ["token", "end"]);
  clients.dispose();
  await closeServer(server);
});

test("a plain call is answered when a configuration drops its endpoint", async () => {
  const { endpoint, server, begun } = await openSlowEndpoint();
  const clients = EndpointClients.create(SystemClock.create());
  clients.apply(createConfiguration([endpoint]));
  const answer = callPlain(clients, endpoint);
  const response = await begun;
  clients.apply(createConfiguration([]));
  response.end();
  assert.is(await answer, "200");
  clients.dispose();
  await closeServer(server);
});

test("a dropped endpoint's connections close after its last call", async () => {
  const { endpoint, server, begun } = await openSlowEndpoint();
  const closed = new Promise((resolve) =>
    server.once("connection", (socket) => socket.once("close", resolve))
  );
  const clients = EndpointClients.create(SystemClock.create());
  const seen = generate(clients, endpoint);
  const response = await begun;
  clients.apply(createConfiguration([]));
  response.end(endEvent);
  await seen;
  await closed;
  await closeServer(server);
});

test("disposing the clients ends the calls of dropped endpoints", async () => {
  const { endpoint, server, begun } = await openSlowEndpoint();
  const clients = EndpointClients.create(SystemClock.create());
  const seen = generate(clients, endpoint);
  await begun;
  clients.apply(createConfiguration([]));
  clients.dispose();
  assert.is((await seen).at(-1), "connection_lost");
  await closeServer(server);
});

test.run();
