/**
 * Answers without end: the clients give them up once a limit is passed.
 */

import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { SystemClock } from "@almondcrank/common/clock.ts";
import { HttpEngine } from "./http_engine.ts";
import { HttpPlainEndpoint } from "./http_plain_endpoint.ts";

/** Time that the calls have; failures must come long before. */
const remainingMs = 8_000;
/** Time in which a call must fail. */
const failureMs = 4_000;
/** Growth of memory that one limited answer allows, in bytes. */
const allowedGrowthBytes = 96 * 1_048_576;
const filler = "f".repeat(16_384);
const line = `x-filler: ${"f".repeat(1_000)}\r\n`;
const chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const interim = "HTTP/1.1 103 Early Hints\r\nx-filler: f\r\n\r\n";
/** Begin of an answer, and what follows without end. */
const answers: Readonly<Record<string, readonly [string, string]>> = {
  "head": ["HTTP/1.1 200 OK\r\n", line],
  "interim answers": [interim, interim],
  "body": ["HTTP/1.1 200 OK\r\n\r\n", filler],
  "error body": ["HTTP/1.1 500 Failed\r\n\r\n", filler],
  "declined body": ["HTTP/1.1 503 Full\r\nx-run: not_run\r\n\r\n", filler],
  "empty lines": ["HTTP/1.1 200 OK\r\n\r\n", "\n".repeat(16_384)],
  "chunk extension": [`${chunked}1;`, filler],
  "trailers": [`${chunked}0\r\n`, line],
};

/** Runs a call against a server whose answers never end; checks its limits. */
async function checkCall(
  [begin, rest]: readonly [string, string],
  call: (address: string) => Promise<void>,
): Promise<void> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => sockets.delete(socket));
    socket.once("data", () => void sendWithoutEnd(socket, begin, rest));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const before = readMemory();
  let largest = before;
  const timer = setInterval(() => {
    largest = Math.max(largest, readMemory());
  }, 10);
  const startedAt = performance.now();
  try {
    await call(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    const tookMs = performance.now() - startedAt;
    assert.ok(tookMs < failureMs, `took ${tookMs} ms`);
    const growth = largest - before;
    assert.ok(growth < allowedGrowthBytes, `memory grew by ${growth} bytes`);
  } finally {
    clearInterval(timer);
    for (const socket of sockets) socket.destroy();
    server.close();
  }
}

function readMemory(): number {
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

async function sendWithoutEnd(
  socket: Socket,
  begin: string,
  rest: string,
): Promise<void> {
  socket.write(begin);
  const bytes = Buffer.from(rest);
  while (!socket.destroyed) {
    if (!socket.writableNeedDrain) socket.write(bytes);
    await new Promise((resolve) => setImmediate(resolve));
  }
}

for (const [name, answer] of Object.entries(answers)) {
  test(`a generation whose answer has endless ${name} fails`, async () => {
    await checkCall(answer, async (address) => {
      const clock = SystemClock.create();
      const endpoint = { name: "e", address };
      const engine = HttpEngine.create({ endpoint, clock });
      const signal = AbortSignal.timeout(remainingMs);
      const kinds: string[] = [];
      const events = engine.generate({
        id: "a1",
        model: "m",
        prompt: "one two",
        tokensSoFar: [],
        maxTokens: 8,
        priority: 0,
        remainingMs,
      }, signal);
      for await (const event of events) {
        kinds.push(event.isLeft() ? "failed" : "event");
      }
      engine.dispose();
      assert.equal(kinds, ["failed"]);
      assert.is(signal.aborted, false);
    });
  });

  test(`a load report with endless ${name} is a failure`, async () => {
    await checkCall(answer, async (address) => {
      const clock = SystemClock.create();
      const endpoint = { name: "e", address };
      const engine = HttpEngine.create({ endpoint, clock });
      assert.ok((await engine.readLoad()).isLeft());
      engine.dispose();
    });
  });

  test(`a plain call whose answer has endless ${name} fails`, async () => {
    await checkCall(answer, async (address) => {
      const endpoint = HttpPlainEndpoint.create({
        name: "booking-1",
        address,
        clock: SystemClock.create(),
      });
      const result = await endpoint.call({
        method: "POST",
        path: "/slots",
        contentType: undefined,
        body: new Uint8Array(),
        idempotencyKey: undefined,
        priority: 2,
        remainingMs,
      }, new AbortController().signal);
      endpoint.dispose();
      assert.ok(result.isLeft());
    });
  });
}

test.run();
