import { once } from "node:events";
import {
  createServer,
  get,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { type AddressInfo, connect } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { abortResponse } from "@almondcrank/common/abort_response.ts";
import { writeEvents } from "./event_writer.ts";

const events = [
  "id: 1\ndata: token\n\n",
  `id: 2\ndata: ${"x".repeat(70_000)}\n\n`,
  "id: 3\ndata: \u00e4\n\n",
].map((text) => Buffer.from(text));
const wholeText = Buffer.concat(events).toString();

type Answer = (response: ServerResponse) => void | Promise<void>;

/** Runs a check against a server that answers each request in one way. */
async function runServer(
  answer: Answer,
  check: (port: number) => Promise<void>,
): Promise<void> {
  const server = createServer((_, response) => void answer(response));
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  try {
    await check((server.address() as AddressInfo).port);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

function writeAll(response: ServerResponse): void {
  response.writeHead(200, { "Content-Type": "text/event-stream" });
  for (const bytes of events) writeEvents(response, bytes);
}

/** Reads an answer to its end; `isWhole` tells whether its framing ended. */
async function readAnswer(
  port: number,
): Promise<{ readonly text: string; readonly isWhole: boolean }> {
  const [response] = await once(
    get({ port, host: "127.0.0.1" }),
    "response",
  ) as [IncomingMessage];
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of response) chunks.push(chunk as Buffer);
  } catch {
    // It broke off.
  }
  const text = Buffer.concat(chunks).toString();
  return { text, isWhole: response.complete };
}

/** Reads the bytes of an answer to a request as written in `text`. */
async function readBytes(port: number, text: string): Promise<string> {
  const socket = connect(port, "127.0.0.1");
  socket.end(text);
  const chunks: Buffer[] = [];
  for await (const chunk of socket) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
}

test("events arrive in order and the answer is whole once it was ended", async () => {
  await runServer((response) => {
    writeAll(response);
    response.end();
  }, async (port) => {
    assert.equal(await readAnswer(port), { text: wholeText, isWhole: true });
  });
});

test("an answer that breaks off after an event is not whole", async () => {
  await runServer((response) => {
    writeAll(response);
    setTimeout(() => abortResponse(response), 50);
  }, async (port) => {
    assert.equal(await readAnswer(port), { text: wholeText, isWhole: false });
  });
});

test("the bytes are the same as those that Node.js frames", async () => {
  const request = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  const readBody = async (answer: Answer): Promise<string> => {
    let bytes = "";
    await runServer(answer, async (port) => {
      bytes = await readBytes(port, request);
    });
    return bytes.slice(bytes.indexOf("\r\n\r\n"));
  };
  const framed = await readBody((response) => {
    writeAll(response);
    response.end();
  });
  const framedByNode = await readBody((response) => {
    response.writeHead(200, { "Content-Type": "text/event-stream" });
    for (const bytes of events) response.write(bytes);
    response.end();
  });
  assert.is(framed, framedByNode);
});

test("a caller without chunks gets the events only", async () => {
  await runServer((response) => {
    writeAll(response);
    response.end();
  }, async (port) => {
    const text = await readBytes(port, "GET / HTTP/1.0\r\n\r\n");
    assert.is(text.slice(text.indexOf("\r\n\r\n") + 4), wholeText);
  });
});

test("a caller that does not read is reported and then drained", async () => {
  let writes = 0;
  let hasDrained = false;
  await runServer(async (response) => {
    response.writeHead(200);
    const bytes = Buffer.alloc(100_000, "x");
    while (writeEvents(response, bytes) && writes < 1_000) writes += 1;
    await once(response, "drain");
    hasDrained = true;
    response.end();
  }, async (port) => {
    await readAnswer(port);
  });
  assert.ok(writes < 1_000, `${writes} writes`);
  assert.ok(hasDrained);
});

test("no bytes are no end of the answer", async () => {
  await runServer((response) => {
    response.writeHead(200);
    writeEvents(response, Buffer.alloc(0));
    writeEvents(response, Buffer.from("id: 1\n\n"));
    setImmediate(() => abortResponse(response));
  }, async (port) => {
    const { isWhole } = await readAnswer(port);
    assert.is(isWhole, false);
  });
});

test.run();
