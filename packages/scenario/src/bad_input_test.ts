import * as assert from "uvu/assert";
import { test } from "uvu";
import { type LogLevel, TslogLog } from "@almondcrank/common/logs.ts";
import {
  checkError,
  openSocket,
  readRaw,
  sendRaw,
  sendRawThenRead,
} from "./testing/raw_http.ts";
import {
  operatorKey,
  teamKey,
  TestFleet,
  waitUntil,
} from "./testing/test_fleet.ts";

const maxBodyBytes = 4_096;
const maxConnections = 12;
const secretPrompt = "secret-prompt-of-a-caller";
const lines: string[] = [];
const level: LogLevel = "debug";
const log = TslogLog.create("test", {
  level,
  format: "json",
  write: (line) => void lines.push(line),
});

let fleet: TestFleet;

test.before(async () => {
  fleet = await TestFleet.open({
    log,
    limits: {
      maxBodyBytes,
      maxHeaderBytes: 2_048,
      maxConnections,
      requestTimeoutMs: 400,
    },
  });
});
test.after(() => fleet?.dispose());

/** A request as bytes; the connection ends after its answer. */
function formatRequest(
  head: string,
  body: string | Uint8Array = "",
  headers: readonly string[] = [],
): Buffer {
  const bytes = Buffer.from(body);
  const length = bytes.length === 0 ? [] : [`content-length: ${bytes.length}`];
  const all = [
    `${head} HTTP/1.1`,
    "host: test",
    `authorization: Bearer ${teamKey}`,
    "connection: close",
    ...length,
    ...headers,
  ];
  return Buffer.concat([Buffer.from(`${all.join("\r\n")}\r\n\r\n`), bytes]);
}

const chatHead = "POST /v1/chat/completions";
const bookingHead = "POST /services/booking/bookings";

function formatChat(change: object = {}): string {
  return JSON.stringify({
    model: "assistant",
    messages: [{ role: "user", content: secretPrompt }],
    ...change,
  });
}

const invalidUtf8 = Uint8Array.from([0x22, 0xff, 0xfe, 0x22]);

const cases = [
  {
    name: "malformed HTTP",
    bytes: Buffer.from("this is no HTTP\r\n\r\n"),
    expected: { status: 400, kind: "malformed_http", remedy: "well-formed" },
  },
  {
    name: "headers too large",
    bytes: formatRequest(chatHead, "", [`x-long: ${"a".repeat(4_096)}`]),
    expected: { status: 431, kind: "headers_too_large", remedy: "2048 bytes" },
  },
  {
    name: "invalid JSON",
    bytes: formatRequest(chatHead, "{not json"),
    expected: { status: 400, kind: "body_not_json", remedy: "correct it" },
  },
  {
    name: "no body",
    bytes: formatRequest(chatHead),
    expected: { status: 400, kind: "body_not_json", remedy: "correct it" },
  },
  {
    name: "invalid UTF-8",
    bytes: formatRequest(chatHead, invalidUtf8),
    expected: { status: 400, kind: "body_not_utf8", remedy: "as UTF-8" },
  },
  {
    name: "empty messages",
    bytes: formatRequest(chatHead, formatChat({ messages: [] })),
    expected: {
      status: 400,
      kind: "bad_request",
      remedy: /messages.*correct the request/,
    },
  },
  {
    name: "a bad Last-Event-ID",
    bytes: formatRequest(chatHead, "", ["last-event-id: nonsense"]),
    expected: {
      status: 400,
      kind: "bad_event_id",
      remedy: "id of the last event",
    },
  },
  {
    name: "an empty Last-Event-ID",
    bytes: formatRequest(chatHead, "", ["last-event-id: :3"]),
    expected: {
      status: 400,
      kind: "bad_event_id",
      remedy: "id of the last event",
    },
  },
  {
    name: "an idempotency-key that is too long",
    bytes: formatRequest(bookingHead, "{}", [
      `idempotency-key: ${"k".repeat(600)}`,
    ]),
    expected: { status: 422, kind: "bad_key", remedy: "a shorter one" },
  },
  {
    name: "an unknown path",
    bytes: formatRequest("GET /v2/nothing"),
    expected: { status: 404, kind: "no_such_path", remedy: "paths" },
  },
  {
    name: "a path that is not percent-encoded",
    bytes: formatRequest("GET /services/%zz/x"),
    expected: { status: 404, kind: "no_such_path", remedy: "paths" },
  },
  {
    name: "a method that a path does not have",
    bytes: formatRequest("DELETE /v1/models"),
    expected: { status: 404, kind: "no_such_path", remedy: "paths" },
  },
  {
    name: "an unknown plain service",
    bytes: formatRequest("GET /services/nobody/x"),
    expected: { status: 404, kind: "unknown_service", remedy: "operators" },
  },
  {
    name: "a chat body that is too large",
    bytes: formatRequest(chatHead, "a".repeat(60_000)),
    expected: { status: 413, kind: "body_too_large", remedy: "smaller" },
  },
  {
    name: "a booking body that is too large",
    bytes: formatRequest(bookingHead, "a".repeat(60_000)),
    expected: { status: 413, kind: "body_too_large", remedy: "smaller" },
  },
];

for (const { name, bytes, expected } of cases) {
  test(`${name} is answered with kind ${expected.kind}`, async () => {
    checkError(await sendRaw(fleet.callers, bytes), expected);
  });
}

const largeBody = "a".repeat(5_000_000);

test("a large body with a wrong key is answered", async () => {
  const bytes = formatRequest(chatHead, largeBody).toString();
  checkError(
    await sendRawThenRead(fleet.callers, bytes.replace(teamKey, "wrong-key")),
    { status: 401, kind: "unknown_team", remedy: "send your team's key" },
  );
});

test("a large body for an unknown service is answered", async () => {
  const bytes = formatRequest("POST /services/nobody/x", largeBody);
  checkError(await sendRawThenRead(fleet.callers, bytes), {
    status: 404,
    kind: "unknown_service",
    remedy: "operators",
  });
});

test("a large body of 5 MB is answered", async () => {
  checkError(
    await sendRawThenRead(fleet.callers, formatRequest(chatHead, largeBody)),
    {
      status: 413,
      kind: "body_too_large",
      remedy: "smaller",
    },
  );
});

test("an operators' body that is too large is answered", async () => {
  const bytes = formatRequest("POST /diff", "a".repeat(5_000_000), [])
    .toString().replace(teamKey, operatorKey);
  checkError(await sendRaw(fleet.operators, bytes), {
    status: 413,
    kind: "body_too_large",
    remedy: "smaller",
  });
});

test("a large body announced in chunks is answered", async () => {
  const head = formatRequest(chatHead, "", ["transfer-encoding: chunked"]);
  const chunk = `${(30_000).toString(16)}\r\n${"a".repeat(30_000)}\r\n`;
  const bytes = Buffer.concat([head, Buffer.from(chunk.repeat(2))]);
  checkError(await sendRaw(fleet.callers, bytes), {
    status: 413,
    kind: "body_too_large",
    remedy: "smaller",
  });
});

test("a stream in progress is whole beside bodies that are too large", async () => {
  const body = formatChat({ stream: true, max_tokens: 60 });
  const streamed = sendRaw(fleet.callers, formatRequest(chatHead, body));
  await waitUntil(() => fleet.engine.load.running === 1);
  const large = formatRequest(chatHead, "a".repeat(60_000));
  for (let times = 0; times < 3; times++) {
    assert.is((await sendRaw(fleet.callers, large)).status, 413);
  }
  const answer = await streamed;
  assert.is(answer.status, 200);
  assert.match(answer.body, "data: [DONE]");
  const indices = [...answer.body.matchAll(/^id: .*:(\d+)$/gm)];
  assert.equal(
    indices.map(([, index]) => Number(index)),
    Array.from({ length: indices.length }, (_, index) => index),
  );
  assert.ok(indices.length > 0);
});

for (const head of [chatHead, bookingHead]) {
  test(`${head} with a slow body is answered`, async () => {
    const socket = openSocket(fleet.callers);
    socket.write(
      `${head} HTTP/1.1\r\nhost: test\r\nauthorization: Bearer ${teamKey}\r\ncontent-length: 100\r\n\r\n{`,
    );
    checkError(await readRaw(socket), {
      status: 408,
      kind: "request_too_slow",
      remedy: "send",
    });
  });
}

test("slow headers are answered", async () => {
  const socket = openSocket(fleet.callers);
  socket.write("GET /v1/models HTTP/1.1\r\nhost: te");
  checkError(await readRaw(socket), {
    status: 408,
    kind: "request_too_slow",
    remedy: "send",
  });
});

test("a connection too many is told so, and those open go on", async () => {
  const open = Array.from(
    { length: maxConnections },
    () => openSocket(fleet.callers),
  );
  await Promise.all(
    open.map((socket) =>
      new Promise((resolve) => socket.once("connect", resolve))
    ),
  );
  const health = formatRequest("GET /healthz");
  checkError(await sendRaw(fleet.callers, health), {
    status: 503,
    kind: "too_many_connections",
    remedy: "another node",
  });
  open[0]!.write(health);
  assert.is((await readRaw(open[0]!)).status, 200);
  for (const socket of open) socket.destroy();
  await waitUntil(async () =>
    (await sendRaw(fleet.callers, health)).status === 200
  );
});

test("nothing of keys and prompts is logged at any level", async () => {
  const ok = formatRequest(chatHead, formatChat({ max_tokens: 2 }));
  assert.is((await sendRaw(fleet.callers, ok)).status, 200);
  fleet.engine.faults.apply({ cut: { at: "first_byte", times: 1 } });
  assert.is((await sendRaw(fleet.callers, ok)).status, 200);
  log.debug("the sink works at this level.");
  const all = lines.join("\n");
  assert.match(all, "the sink works at this level.");
  for (const secret of [teamKey, operatorKey, secretPrompt, "peer-key"]) {
    assert.not.match(all, secret);
  }
});

test.run();
