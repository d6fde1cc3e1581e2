/**
 * Answers of plain endpoints whose status is none of HTTP: they are no answers.
 */

import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { SystemClock } from "@almondcrank/common/clock.ts";
import { HttpPlainEndpoint } from "./http_plain_endpoint.ts";

const clock = SystemClock.create();
const never = new AbortController().signal;
const body = "confirmed";

/** Opens a server that answers each call with a status. */
async function openServer(status: string, sockets: Socket[]): Promise<Server> {
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    socket.on("data", () => {
      const head = `HTTP/1.1 ${status} Odd\r\nContent-Length: ${body.length}`;
      socket.write(`${head}\r\n\r\n${body}`);
    });
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  return server;
}

/** Kind of the result of one call. */
async function call(status: string): Promise<string | number> {
  const sockets: Socket[] = [];
  const server = await openServer(status, sockets);
  const { port } = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  const endpoint = HttpPlainEndpoint.create({ name: "b", address, clock });
  try {
    const answer = await endpoint.call({
      method: "POST",
      path: "/book",
      contentType: undefined,
      body: new Uint8Array(1),
      idempotencyKey: undefined,
      priority: 2,
      remainingMs: 2_000,
    }, never);
    return answer.caseOf<string | number>({
      Left: ({ detail }) => detail.kind,
      Right: ({ status: received }) => received,
    });
  } finally {
    endpoint.dispose();
    for (const socket of sockets) socket.destroy();
    server.close();
  }
}

for (const status of ["000", "099", "600", "999", "1000", "20", "+20"]) {
  // Guards against bytes that are passed on as an answer and are none.
  test(`status ${status} is no answer`, async () => {
    assert.type(await call(status), "string");
  });
}

for (const status of ["200", "404", "500", "599"]) {
  test(`status ${status} is one`, async () => {
    assert.is(await call(status), Number(status));
  });
}

test.run();
