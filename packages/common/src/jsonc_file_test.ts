import * as assert from "uvu/assert";
import { test } from "uvu";
import { z } from "zod";
import { parseJsoncFile } from "./jsonc_file.ts";

const schema = z.strictObject({
  name: z.string(),
  items: z.array(z.strictObject({ size: z.int().min(1) })).default([]),
});

function listMessages(text: string): readonly string[] {
  return parseJsoncFile({ file: "a.jsonc", text, schema }).caseOf<
    readonly string[]
  >({ Left: (error) => error.message.split("\n"), Right: () => [] });
}

test("comments and trailing commas are accepted, defaults filled in", () => {
  const text = '{ // a comment\n "name": "x", }';
  const value = parseJsoncFile({ file: "a.jsonc", text, schema }).extract();
  assert.equal("value" in value && value.value, { name: "x", items: [] });
});

test("every fault names file, line, column, key and remedy", () => {
  const text = '{\n  "name": 3,\n  "items": [{ "size": 0, "colour": "x" }]\n}';
  const messages = listMessages(text);
  assert.is(messages.length, 3);
  assert.match(
    messages.join("\n"),
    /a\.jsonc:2:11: name: .*; correct the value/,
  );
  assert.match(messages.join("\n"), /a\.jsonc:3:23: items\[0\]\.size: /);
  assert.match(
    messages.join("\n"),
    /items\[0\]\.colour: is not a known key; remove/,
  );
});

test("a duplicate key is refused", () => {
  assert.match(
    listMessages('{"name": "x", "name": "y"}')[0] ?? "",
    /^a\.jsonc:1:15: name: stands twice/,
  );
});

test("a syntax fault has its position", () => {
  assert.match(
    listMessages('{\n "name" "x"}')[0] ?? "",
    /^a\.jsonc:2:9: ColonExpected/,
  );
});

test("an empty file is refused", () => {
  assert.match(listMessages("")[0] ?? "", /a\.jsonc:1:1:/);
});

test.run();
