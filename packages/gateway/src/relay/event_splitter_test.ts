import { test } from "uvu";
import * as assert from "uvu/assert";
import fc from "fast-check";
import { EventSplitter } from "./event_splitter.ts";

test("all events are returned wherever the stream is split into chunks", () => {
  const text =
    "id: 1\ndata: a\n\nx-weight-versions: 3\nid: 2\r\ndata: b\r\n\r\n" +
    "id: 3\ndata: c\n\n";
  const bytes = Buffer.from(text);
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 0, max: bytes.length })),
      (cuts) => {
        const splitter = EventSplitter.create();
        const boundaries = [
          0,
          ...[...cuts].sort((a, b) => a - b),
          bytes.length,
        ];
        let forwarded = "";
        let lastId: number | undefined;
        for (let index = 1; index < boundaries.length; index += 1) {
          const chunk = bytes.subarray(
            boundaries[index - 1],
            boundaries[index],
          );
          if (chunk.length === 0) continue;
          const events = splitter.add(chunk);
          if (events === undefined) continue;
          forwarded += events.bytes.toString();
          lastId = events.lastId ?? lastId;
        }
        assert.is(forwarded, text);
        assert.is(lastId, 3);
        assert.is(splitter.remainderBytes, 0);
      },
    ),
    { seed: 20261204 },
  );
});

// Guards against a piece that is missing or comes twice within what arrives at once.
test("ids that jump, repeat or go back within a chunk are seen", () => {
  const isConsecutive = (ids: readonly number[]) => {
    const text = ids.map((id) => `id: ${id}\ndata: a\n\n`).join("");
    return EventSplitter.create().add(Buffer.from(text))?.isConsecutive;
  };
  assert.is(isConsecutive([1, 2, 3]), true);
  assert.is(isConsecutive([7]), true);
  assert.is(isConsecutive([1, 2, 4]), false);
  assert.is(isConsecutive([1, 2, 2]), false);
  assert.is(isConsecutive([2, 1]), false);
});

test("an incomplete event is kept as the remainder", () => {
  const splitter = EventSplitter.create();
  const events = splitter.add(Buffer.from("id: 4\ndata: a\n\nid: 5\nda"));
  assert.is(events?.bytes.toString(), "id: 4\ndata: a\n\n");
  assert.is(events?.firstId, 4);
  assert.is(events?.lastId, 4);
  assert.is(splitter.remainderBytes, "id: 5\nda".length);
  const next = splitter.add(Buffer.from("ta: b\n\n"));
  assert.is(next?.bytes.toString(), "id: 5\ndata: b\n\n");
});

test.run();
