import * as assert from "uvu/assert";
import { test } from "uvu";
import { createServer } from "node:net";
import { z } from "zod";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { PeerClients } from "./peer_clients.ts";
import type { PeerError } from "./peer_error.ts";
import { createPeerProcedures } from "./peer_procedures.ts";
import { PeerServer } from "./peer_server.ts";

const peer = createPeerProcedures();
let calls = 0;
const router = peer.router({
  echo: peer.procedure.input(z.string()).mutation(({ input }) => {
    calls++;
    return { text: input };
  }),
  sleep: peer.procedure.query(() => new Promise<string>(() => {})),
  fail: peer.procedure.query((): string => {
    throw new Error("broken");
  }),
});
type TestRouter = typeof router;

function openServer(key = "k"): Promise<PeerServer> {
  const log = createSilentLog();
  const metrics = Metrics.create();
  const address = "127.0.0.1:0";
  return PeerServer.open({ address, key, router, log, metrics });
}

function createClients(key = "k"): PeerClients<TestRouter> {
  return PeerClients.create<TestRouter>({ key, metrics: Metrics.create() });
}

function readError(result: { extract(): unknown }): PeerError {
  return result.extract() as PeerError;
}

test("calls are answered over kept-alive connections", async () => {
  const server = await openServer();
  const clients = createClients();
  for (const text of ["a", "ü", "c", "d", "e", "f", "g", "h"]) {
    const answer = await clients.call(server.address, {
      send: ({ client, signal }) => client.echo.mutate(text, { signal }),
    });
    assert.equal(answer.extract(), { text });
  }
  assert.ok(clients.bytes.openSockets <= 2);
  const { sent, received } = clients.bytes.read();
  assert.ok(sent > 0 && received > 0);
  assert.equal(server.bytes.read(), { sent: received, received: sent });
  clients.dispose();
  server.dispose();
});

test("a wrong key is refused and nothing runs", async () => {
  const server = await openServer();
  const clients = createClients("other");
  calls = 0;
  const result = await clients.call(server.address, {
    send: ({ client, signal }) => client.echo.mutate("a", { signal }),
  });
  assert.is(readError(result).kind, "unauthorized");
  assert.is(readError(result).run, "not_run");
  assert.is(calls, 0);
  clients.dispose();
  server.dispose();
});

test("a refused connection did not run the call", async () => {
  const server = await openServer();
  const address = server.address;
  await server.close();
  const clients = createClients();
  const result = await clients.call(address, {
    send: ({ client, signal }) => client.echo.mutate("a", { signal }),
  });
  assert.is(readError(result).kind, "unreachable");
  assert.is(readError(result).run, "not_run");
  clients.dispose();
});

test("a silent peer ends in a timeout with unknown outcome", async () => {
  const server = await openServer();
  const clients = createClients();
  const result = await clients.call(server.address, {
    send: ({ client, signal }) => client.sleep.query(undefined, { signal }),
    timeoutMs: 50,
  });
  assert.is(readError(result).kind, "timeout");
  assert.is(readError(result).run, "unknown");
  clients.dispose();
  server.dispose();
});

test("a connection cut after sending leaves the outcome unknown", async () => {
  const server = createServer((socket) => {
    socket.once("data", () => socket.destroy());
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as { port: number };
  const clients = createClients();
  const result = await clients.call(`127.0.0.1:${port}`, {
    send: ({ client, signal }) => client.echo.mutate("a", { signal }),
  });
  assert.is(readError(result).kind, "connection_lost");
  assert.is(readError(result).run, "unknown");
  clients.dispose();
  server.close();
});

test("a failure in the procedure and malformed input are told apart", async () => {
  const server = await openServer();
  const clients = createClients();
  const failed = await clients.call(server.address, {
    send: ({ client, signal }) => client.fail.query(undefined, { signal }),
  });
  const malformed = await clients.call(server.address, {
    send: ({ client, signal }) =>
      client.echo.mutate(7 as unknown as string, { signal }),
  });
  const codes = [failed, malformed].map((result) => {
    const { detail } = readError(result);
    return detail.kind === "failed" ? detail.code : detail.kind;
  });
  assert.equal(codes, ["INTERNAL_SERVER_ERROR", "BAD_REQUEST"]);
  clients.dispose();
  server.dispose();
});

test.run();
