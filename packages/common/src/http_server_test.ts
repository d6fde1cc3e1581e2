/**
 * Planned stop of a server under load: what has arrived is answered, and answers
 * that are being sent are sent to their end.
 */

import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { HttpServer, sendJson } from "./http_server.ts";

const largeBytes = 33_554_432;
const request = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/** Keeps the event loop from running. */
function block(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

async function openClient(address: string): Promise<Socket> {
  const [host, port] = address.split(":");
  const socket = connect({ host: host ?? "", port: Number(port) });
  socket.on("error", () => {});
  await once(socket, "connect");
  return socket;
}

/** Reads until the connection ends; returns the number of bytes. */
async function countBytes(socket: Socket): Promise<number> {
  let bytes = 0;
  socket.on("data", (chunk: Buffer) => bytes += chunk.length);
  await new Promise((resolve) => socket.once("close", resolve));
  return bytes;
}

test("a request that arrived before the stop is answered on an open connection", async () => {
  const server = await HttpServer.open({
    address: "127.0.0.1:0",
    routes: [{
      method: "GET",
      path: "/",
      handle: ({ response }) => void response.end("whole"),
    }],
  });
  const socket = await openClient(server.address);
  socket.write(request);
  await once(socket, "data");
  // The next request arrives while the loop of the server stands still.
  socket.write(request);
  block(20);
  const closed = server.close();
  const bytes = await countBytes(socket);
  await closed;
  assert.ok(bytes > 0);
});

test("an answer that is being sent at the stop is sent to its end", async () => {
  const server = await HttpServer.open({
    address: "127.0.0.1:0",
    routes: [{
      method: "GET",
      path: "/",
      handle: ({ response }) => void response.end(Buffer.alloc(largeBytes)),
    }],
  });
  const socket = await openClient(server.address);
  socket.write(request);
  await once(socket, "readable");
  const closed = server.close();
  await new Promise((resolve) => setTimeout(resolve, 50));
  const bytes = await countBytes(socket);
  await closed;
  assert.ok(bytes > largeBytes, `${bytes}`);
});

// Guards against requests that are cut with no answer at the end of a drain.
test("requests that still run as the process ends are answered", async () => {
  const server = await HttpServer.open({
    address: "127.0.0.1:0",
    routes: [{ method: "ALL", path: "/*", handle: () => {} }],
  });
  const answer = fetch(`http://${server.address}/book`, { method: "POST" });
  await new Promise((resolve) => setTimeout(resolve, 100));
  server.failRunning();
  const { status } = await answer;
  const { error } = await (await answer).json() as {
    error: { readonly run: string };
  };
  server.dispose();
  assert.is(status, 502);
  assert.is(error.run, "unknown");
});

// Guards against callers that hold connections by a body that they never end.
test("a connection whose refused body stops is closed soon", async () => {
  const server = await HttpServer.open({
    address: "127.0.0.1:0",
    routes: [{
      method: "POST",
      path: "/",
      handle: ({ response }) => sendJson(response, 503, {}),
    }],
  });
  const socket = await openClient(server.address);
  socket.write("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n1");
  const from = performance.now();
  assert.ok(await countBytes(socket) > 0);
  assert.ok(performance.now() - from < 3_000);
  while (server.connections > 0 && performance.now() - from < 3_000) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  assert.is(server.connections, 0);
  server.dispose();
});

test.run();
