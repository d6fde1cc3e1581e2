/**
 * Connections that are read in parts, with real sockets: nothing is lost, doubled or
 * out of order, and what is given up is told so.
 */

import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { SystemClock } from "./clock.ts";
import { sendWhole } from "./ending_connections.ts";
import { readRequestBody } from "./request_body.ts";
import { ServerConnections } from "./server_connections.ts";
import { unboundedShare } from "./body_budget.ts";

const busyText = "HTTP/1.1 503 Busy\r\nretry-after: 1\r\n\r\n";

/** Runs a check against a guarded server that answers with what it was sent. */
async function runGuarded(
  limits: { readonly maxWaiting?: number; readonly maxEnding?: number },
  check: (port: number, connections: ServerConnections) => Promise<void>,
): Promise<void> {
  const connections = ServerConnections.create({
    ...limits,
    clock: SystemClock.create(),
    memoryBytes: 200_000_000,
  });
  const server: Server = createServer(async (request, response) => {
    const result = await readRequestBody(request, {
      maxBytes: 400_000,
      openShare: () => unboundedShare,
    });
    if (result.kind === "read") {
      sendWhole(response, {
        status: 200,
        headers: {},
        body: `${request.url} ${summarize(result.body)}`,
      });
    } else {
      sendWhole(response, { status: 503, headers: {}, body: result.kind });
    }
  });
  connections.guard(server, { listener: "test", busyText });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  try {
    await check((server.address() as AddressInfo).port, connections);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

function summarize(body: Buffer): string {
  let sum = 0;
  for (const [at, byte] of body.entries()) sum = (sum + byte * at) % 1_000_003;
  return `${body.length} ${sum}`;
}

async function openClient(port: number): Promise<Socket> {
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => {});
  await once(socket, "connect");
  return socket;
}

async function readAll(socket: Socket): Promise<string> {
  const chunks: Buffer[] = [];
  socket.on("data", (chunk: Buffer) => chunks.push(chunk));
  if (!socket.closed) {
    await new Promise((resolve) => socket.once("close", resolve));
  }
  return Buffer.concat(chunks).toString();
}

/** Bytes that differ by their place. */
function createBody(bytes: number): Buffer {
  const body = Buffer.alloc(bytes);
  for (let at = 0; at < bytes; at += 1) body[at] = at * 7 % 251;
  return body;
}

function formatChunks(body: Buffer, size: number): Buffer {
  const parts: Buffer[] = [];
  for (let at = 0; at < body.length; at += size) {
    const chunk = body.subarray(at, at + size);
    parts.push(Buffer.from(`${chunk.length.toString(16)}\r\n`), chunk);
    parts.push(Buffer.from("\r\n"));
  }
  return Buffer.concat([...parts, Buffer.from("0\r\n\r\n")]);
}

for (const size of [1, 100, 8_191, 65_536]) {
  // Guards against parts that are lost, doubled or out of order.
  test(`bodies in chunks of ${size} bytes arrive as they were sent`, async () => {
    await runGuarded({}, async (port) => {
      const body = createBody(300_000);
      const answers = await Promise.all([1, 2, 3].map(async () => {
        const socket = await openClient(port);
        const head =
          "POST /a HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n";
        // The end of the connection comes behind the body, in one go with it.
        socket.end(Buffer.concat([
          Buffer.from(head),
          formatChunks(body, size),
        ]));
        return await readAll(socket);
      }));
      for (const answer of answers) {
        assert.match(answer, `/a ${summarize(body)}`);
      }
    });
  });
}

test("requests on one connection are answered in order", async () => {
  await runGuarded({}, async (port) => {
    const socket = await openClient(port);
    const body = createBody(20_000);
    const requests = Array.from({ length: 20 }, (_, at) =>
      Buffer.concat([
        Buffer.from(
          `POST /${at} HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n`,
        ),
        body,
      ]));
    socket.end(Buffer.concat(requests));
    const answer = await readAll(socket);
    const order = [...answer.matchAll(/\/(\d+) 20000/g)].map(([, at]) => at);
    assert.equal(order, requests.map((_, at) => String(at)));
  });
});

/** Sends a body without end. */
async function flood(port: number, head: string): Promise<Socket> {
  const socket = await openClient(port);
  socket.write(head);
  const part = Buffer.from("1\r\na\r\n".repeat(20_000));
  const send = (): void => {
    while (!socket.destroyed && socket.write(part));
  };
  socket.on("drain", send);
  send();
  return socket;
}

const endlessHead =
  "POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";

// Guards against many who send without end, each below every limit of its own.
test("when too many wait, the most expensive is told that it has not run", async () => {
  await runGuarded({ maxWaiting: 2 }, async (port, connections) => {
    const sockets = await Promise.all(
      Array.from({ length: 6 }, () => flood(port, endlessHead)),
    );
    const answers = await Promise.all(sockets.map(readAll));
    assert.ok(connections.turns.givenUp > 0);
    assert.ok(
      answers.some((answer) => /^HTTP\/1\.1 503 .*no_room/s.test(answer)),
    );
  });
});

// Guards against refused callers whose bytes take the time of others.
test("refused callers beyond a number are cut, the latest keep their answers", async () => {
  await runGuarded({ maxEnding: 2 }, async (port, connections) => {
    const head =
      "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 9999999\r\n\r\n";
    const sockets = await Promise.all(
      Array.from({ length: 8 }, () => flood(port, head)),
    );
    const answers = await Promise.all(sockets.map(readAll));
    assert.ok(connections.ending.cut >= 1, `${connections.ending.cut} cut`);
    assert.ok(answers.some((answer) => answer.startsWith("HTTP/1.1 503")));
  });
});

// Guards against a request in work that is given up for those that were refused.
test("refused callers that send on don't take the place of a body that is read", async () => {
  await runGuarded({ maxWaiting: 3, maxEnding: 20 }, async (port) => {
    const head =
      "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 9999999\r\n\r\n";
    const refused = await Promise.all(
      Array.from({ length: 10 }, () => flood(port, head)),
    );
    const body = createBody(300_000);
    const socket = await openClient(port);
    socket.write(
      "POST /a HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n",
    );
    socket.write(formatChunks(body, 1));
    assert.match(await readAll(socket), `/a ${summarize(body)}`);
    for (const other of refused) other.destroy();
  });
});

test("a caller that ends its direction gets its answer", async () => {
  await runGuarded({}, async (port) => {
    const socket = await openClient(port);
    socket.end("GET /g HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    assert.match(await readAll(socket), "/g 0 0");
  });
});

test.run();
