import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  ChatEventFormatter,
  formatEventId,
  parseChatRequest,
  parseEventId,
} from "./chat_protocol.ts";

const head = { streamId: "muc1-a.7", model: "assistant", created: 1 };

test("a token's event is the same JSON that a whole chunk would be", () => {
  const text = ChatEventFormatter.create(head, false)
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

test("event ids go back and forth, also with colons in the stream's id", () => {
  assert.equal(parseEventId(formatEventId("a:b.1", 12)), {
    streamId: "a:b.1",
    index: 12,
  });
  assert.is(parseEventId("nonsense"), undefined);
  assert.is(parseEventId("a:-1"), undefined);
});

test("conversations with the same beginning share the prompt's prefix", () => {
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

test("a fault in the body is named", () => {
  const fault = parseChatRequest({ model: "m", messages: [], n: 2 }).extract();
  assert.match(String(fault), /messages: .*; n: .*; correct the request/);
});

test.run();
