import { test } from "uvu";
import * as assert from "uvu/assert";
import fc from "fast-check";
import { EventSplitter } from "./event_splitter.ts";

test("whole events pass however the bytes are cut", () => {
  const text =
    "id: 1\ndata: a\n\nx-weight-versions: 3\nid: 2\r\ndata: b\r\n\r\n" +
    "id: 3\ndata: c\n\n";
  const bytes = Buffer.from(text);
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 0, max: bytes.length })),
      (cuts) => {
        const splitter = EventSplitter.create();
        const at = [0, ...[...cuts].sort((a, b) => a - b), bytes.length];
        let passed = "";
        let lastId: number | undefined;
        for (let index = 1; index < at.length; index += 1) {
          const chunk = bytes.subarray(at[index - 1], at[index]);
          if (chunk.length === 0) continue;
          const events = splitter.add(chunk);
          if (events === undefined) continue;
          passed += events.bytes.toString();
          lastId = events.lastId ?? lastId;
        }
        assert.is(passed, text);
        assert.is(lastId, 3);
        assert.is(splitter.takeRemainder(), undefined);
      },
    ),
    { seed: 20261204 },
  );
});

test("an event that is not whole stays behind", () => {
  const splitter = EventSplitter.create();
  const events = splitter.add(Buffer.from("id: 4\ndata: a\n\nid: 5\nda"));
  assert.is(events?.bytes.toString(), "id: 4\ndata: a\n\n");
  assert.is(events?.firstId, 4);
  assert.is(events?.lastId, 4);
  assert.is(splitter.takeRemainder()?.toString(), "id: 5\nda");
});

test.run();
