/**
 * A server that sends a second copy of an answer, late, on a connection that is
 * in use again: the copy must not be taken for the answer of the next call.
 */

import { createServer as createTcpServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { Buffer } from "node:buffer";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { SystemClock } from "@almondcrank/common/clock.ts";
import { HttpEngine } from "./http_engine.ts";
import { HttpPlainEndpoint } from "./http_plain_endpoint.ts";
import type { PlainCall } from "./plain_service.ts";

const never = new AbortController().signal;
const clock = SystemClock.create();

const call: PlainCall = {
  method: "GET",
  path: "/slots",
  contentType: undefined,
  body: Buffer.alloc(0),
  idempotencyKey: undefined,
  priority: 2,
  remainingMs: 1_000,
};

/** Server whose answers a test composes from what each request carried. */
interface AnswerServer {
  readonly address: string;
  /** Connections that were opened. */
  readonly sockets: readonly Socket[];
  close(): Promise<void>;
}

/** Opens a server that answers each request head with what `answer` composes. */
async function openServer(
  answer: (head: string, request: number) => string,
): Promise<AnswerServer> {
  const sockets: Socket[] = [];
  let requests = 0;
  const server = createTcpServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    socket.on("data", (data) => socket.write(answer(`${data}`, ++requests)));
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    sockets,
    close: async () => {
      for (const socket of sockets) socket.destroy();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}

/** Composes an answer that echoes the id of the request, if it carries one. */
function composeAnswer(head: string, body: string): string {
  const id = /^x-call-id: *(\S+)/im.exec(head)?.[1];
  const echo = id === undefined ? "" : `x-call-id: ${id}\r\n`;
  return `HTTP/1.1 200 OK\r\n${echo}content-length: ${body.length}\r\n\r\n${body}`;
}

/** Composes answers of which the first is sent again ahead of the second. */
function createRepeater(
  composeBody: (request: number) => string,
): (head: string, request: number) => string {
  let first = "";
  return (head, request) => {
    const answer = composeAnswer(head, composeBody(request));
    if (request === 1) first = answer;
    return request === 2 ? first + answer : answer;
  };
}

test("a plain call does not take the second copy of an earlier answer", async () => {
  const server = await openServer(createRepeater((n) => `answer ${n}`));
  const { address } = server;
  const endpoint = HttpPlainEndpoint.create({ name: "b", address, clock });
  const first = (await endpoint.call(call, never)).unsafeCoerce();
  const second = await endpoint.call(call, never);
  const third = (await endpoint.call(call, never)).unsafeCoerce();
  endpoint.dispose();
  await server.close();
  assert.is(Buffer.from(first.body).toString(), "answer 1");
  assert.is(second.swap().unsafeCoerce().kind, "connection_lost");
  assert.is(second.swap().unsafeCoerce().run, "unknown");
  assert.is(Buffer.from(third.body).toString(), "answer 3");
  assert.is(server.sockets.length, 2);
});

test("a plain call does not take an earlier answer that comes without its id", async () => {
  let bare = "";
  const server = await openServer((head, request) => {
    const answer = composeAnswer(head, `answer ${request}`);
    const earlier = bare;
    bare = answer.replace(/x-call-id: .*\r\n/, "");
    return request === 2 ? earlier + answer : answer;
  });
  const { address } = server;
  const endpoint = HttpPlainEndpoint.create({ name: "b", address, clock });
  const first = (await endpoint.call(call, never)).unsafeCoerce();
  const second = await endpoint.call(call, never);
  const third = (await endpoint.call(call, never)).unsafeCoerce();
  endpoint.dispose();
  await server.close();
  assert.is(Buffer.from(first.body).toString(), "answer 1");
  assert.is(second.swap().unsafeCoerce().run, "unknown");
  assert.is(Buffer.from(third.body).toString(), "answer 3");
});

test("an engine's call does not take the second copy of an earlier answer", async () => {
  const composeState = (request: number) =>
    JSON.stringify({
      fencing: request,
      role: "serve",
      models: [],
      loading: [],
    });
  const server = await openServer(createRepeater(composeState));
  const { address } = server;
  const engine = HttpEngine.create({ endpoint: { name: "e", address }, clock });
  const first = (await engine.readState()).unsafeCoerce();
  const second = await engine.readState();
  const third = (await engine.readState()).unsafeCoerce();
  engine.dispose();
  await server.close();
  assert.is(first.fencing, 1);
  assert.is(second.swap().unsafeCoerce().kind, "connection_lost");
  assert.is(third.fencing, 3);
});

test("a generation does not take the second copy of an earlier answer", async () => {
  const end = {
    kind: "end",
    reason: "stop",
    usage: {
      promptTokens: 1,
      cachedTokens: 0,
      computedTokens: 1,
      outputTokens: 1,
    },
  };
  const composeLines = (request: number) =>
    JSON.stringify({ kind: "token", index: 0, text: ` ${request}` }) + "\n" +
    JSON.stringify(end) + "\n";
  const server = await openServer(createRepeater(composeLines));
  const { address } = server;
  const engine = HttpEngine.create({ endpoint: { name: "e", address }, clock });
  const seen: string[][] = [];
  for (const id of ["g1", "g2"]) {
    const texts: string[] = [];
    const request = {
      id,
      model: "m",
      prompt: "one",
      tokensSoFar: [],
      maxTokens: 4,
      priority: 0,
      remainingMs: 1_000,
    };
    for await (const item of engine.generate(request, never)) {
      item.caseOf({
        Left: ({ kind }) => texts.push(kind),
        Right: (event) =>
          texts.push(event.kind === "token" ? event.text : event.kind),
      });
    }
    seen.push(texts);
  }
  engine.dispose();
  await server.close();
  assert.equal(seen, [[" 1", "end"], ["connection_lost"]]);
});

test("a copy that arrives while its connection is idle reaches no call", async () => {
  const server = await openServer((head, request) =>
    composeAnswer(head, `answer ${request}`)
  );
  const { address } = server;
  const endpoint = HttpPlainEndpoint.create({ name: "b", address, clock });
  await endpoint.call(call, never);
  server.sockets[0]?.write(composeAnswer("", "answer 1"));
  const second = (await endpoint.call(call, never)).unsafeCoerce();
  endpoint.dispose();
  await server.close();
  assert.is(Buffer.from(second.body).toString(), "answer 2");
  assert.is(server.sockets.length, 2);
});

test("an answer without an id is accepted", async () => {
  const server = await openServer(() => composeAnswer("", "plain"));
  const { address } = server;
  const endpoint = HttpPlainEndpoint.create({ name: "b", address, clock });
  const answer = (await endpoint.call(call, never)).unsafeCoerce();
  endpoint.dispose();
  await server.close();
  assert.is(Buffer.from(answer.body).toString(), "plain");
});

test.run();
