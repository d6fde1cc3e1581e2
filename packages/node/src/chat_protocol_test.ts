import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  ChatEventFormatter,
  formatEventId,
  parseChatRequest,
  parseEventId,
} from "./chat_protocol.ts";

const metadata = { streamId: "muc1-a.7", model: "assistant", created: 1 };

test("a token's event equals the JSON of a complete chunk", () => {
  const text = ChatEventFormatter.create(metadata, false)
    .format({ kind: "token", index: 3, text: ' "Bremse"\n' });
  const [id, data] = text.trimEnd().split("\n");
  assert.is(id, "id: muc1-a.7:3");
  assert.equal(JSON.parse((data ?? "").slice("data: ".length)), {
    id: "muc1-a.7",
    object: "chat.completion.chunk",
    created: 1,
    model: "assistant",
    choices: [{
      index: 0,
      delta: { content: ' "Bremse"\n' },
      finish_reason: null,
    }],
  });
});

test("event ids are formatted and parsed back, also with colons in the stream id", () => {
  assert.equal(parseEventId(formatEventId("a:b.1", 12)), {
    streamId: "a:b.1",
    index: 12,
  });
  assert.is(parseEventId("nonsense"), undefined);
  assert.is(parseEventId("a:-1"), undefined);
});

test("conversations that begin with the same messages share a prompt prefix", () => {
  const first = [{ role: "system", content: "S" }, {
    role: "user",
    content: "Q",
  }];
  const next = [...first, { role: "assistant", content: "A" }, {
    role: "user",
    content: "R",
  }];
  const parse = (messages: unknown): string =>
    parseChatRequest({ model: "m", messages }).unsafeCoerce().prompt;
  assert.is(parse(first), "<system> S\n<user> Q\n<assistant>");
  assert.ok(parse(next).startsWith(`${parse(first)} A`));
});

test("the error message names every invalid field of the body", () => {
  const message = parseChatRequest({ model: "m", messages: [], n: 2 })
    .extract();
  assert.match(String(message), /messages: .*; n: .*; correct the request/);
});

test.run();
