/**
 * Answers with a spoiled head, of plain endpoints and of engines: the call that they
 * come to fails or is answered, and nothing is thrown where nobody catches it.
 */

import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import process from "node:process";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { SystemClock } from "@almondcrank/common/clock.ts";
import { HttpEngine } from "./http_engine.ts";
import { HttpPlainEndpoint } from "./http_plain_endpoint.ts";

const never = new AbortController().signal;
const clock = SystemClock.create();
const body = JSON.stringify({ fencing: 1, role: "serve", models: [] });

const heads: readonly string[] = [
  "HTTP/1.1 200 OK\r\nX-Weight Versions: 1",
  "HTTP/1.1 099 Odd\r\nX-Odd: 1",
  "HTTP/1.1 200 OK\r\nContent-Type: text/\u0001plain",
  "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x",
  "HTTP/1.1 204 None\r\nX-Odd: 1",
  "\u0000\u0001\u0002",
];

/** Calls an endpoint whose answers have a head; returns what nobody caught. */
async function collectUncaught(
  head: string,
  call: (address: string) => Promise<unknown>,
): Promise<readonly unknown[]> {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    const answer = `${head}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
    socket.on("data", () => void socket.write(answer));
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const uncaught: unknown[] = [];
  const record = (thrown: unknown): void => void uncaught.push(thrown);
  process.on("uncaughtException", record);
  process.on("unhandledRejection", record);
  try {
    await call(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    await new Promise((resolve) => setTimeout(resolve, 50));
  } finally {
    process.off("uncaughtException", record);
    process.off("unhandledRejection", record);
    for (const socket of sockets) socket.destroy();
    server.close();
  }
  return uncaught;
}

for (const head of heads) {
  const name = JSON.stringify(head);

  test(`a plain call ends whose answer begins with ${name}`, async () => {
    const uncaught = await collectUncaught(head, async (address) => {
      const endpoint = HttpPlainEndpoint.create({ name: "b", address, clock });
      const called = endpoint.call({
        method: "POST",
        path: "/book",
        contentType: undefined,
        body: new Uint8Array(1),
        idempotencyKey: undefined,
        priority: 2,
        remainingMs: 1_000,
      }, never);
      await called;
      endpoint.dispose();
    });
    assert.equal(uncaught, []);
  });

  test(`an engine's call ends whose answer begins with ${name}`, async () => {
    const uncaught = await collectUncaught(head, async (address) => {
      const endpoint = { name: "e", address };
      const engine = HttpEngine.create({ endpoint, clock });
      await engine.readState();
      engine.dispose();
    });
    assert.equal(uncaught, []);
  });
}

// A caller must not be able to end a node by what it writes.
for (const path of ["/a\tb", "/a b", "/\u0100"]) {
  test(`a call whose path can't be written is not sent (${JSON.stringify(path)})`, async () => {
    const uncaught = await collectUncaught(
      "HTTP/1.1 200 OK",
      async (address) => {
        const endpoint = HttpPlainEndpoint.create({
          name: "b",
          address,
          clock,
        });
        const result = await endpoint.call({
          method: "POST",
          path,
          contentType: "text/\u0001plain",
          body: new Uint8Array(1),
          idempotencyKey: undefined,
          priority: 2,
          remainingMs: 1_000,
        }, never);
        assert.is(result.swap().unsafeCoerce().run, "not_run");
        endpoint.dispose();
      },
    );
    assert.equal(uncaught, []);
  });
}

test.run();
