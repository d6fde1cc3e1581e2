import * as assert from "uvu/assert";
import { test } from "uvu";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { computePromptParts } from "./prompt_parts.ts";

const hasher = await openHasher();
const model = "base";

function compute(...messages: readonly string[]): readonly string[] {
  const prompt = [...messages, "<assistant>"].join("\n");
  return computePromptParts(hasher, { model, prompt });
}

test("a message is the same part whatever comes before it", () => {
  const first = compute("<system> a", "<user> b\nand more", "<user> last");
  const second = compute(
    "<user> other",
    "<assistant> words",
    "<user> b\nand more",
    "<user> question",
  );
  assert.is(first.length, 3);
  assert.equal(second.filter((part) => first.includes(part)), [first[1]]);
});

test("the last message is a part, and the same one in the next turn", () => {
  const turn = compute("<system> a", "<user> b");
  const next = compute("<system> a", "<user> b", "<assistant> c", "<user> d");
  assert.is(turn.length, 2);
  assert.equal(next.slice(0, 2), turn);
  assert.is(next.length, 4);
});

test("where the answer goes is no part", () => {
  const prompt = "<system> a\n<user> b";
  const parts = computePromptParts(hasher, { model, prompt });
  assert.equal(parts, compute("<system> a", "<user> b"));
});

test("a prompt without messages is one part", () => {
  const prompt = "brakes of the red van\nwere worn";
  assert.is(computePromptParts(hasher, { model, prompt }).length, 1);
});

test("models have parts of their own", () => {
  const prompt = "<system> a\n<user> b\n<assistant>";
  const parts = computePromptParts(hasher, { model, prompt });
  const others = computePromptParts(hasher, { model: "other", prompt });
  assert.equal(parts.filter((part) => others.includes(part)), []);
});

test("the number of parts is bounded, and equal messages are one part", () => {
  const messages = Array.from({ length: 300 }, (_, i) => `<user> ${i}`);
  const parts = compute(...messages);
  assert.is(parts.length, 64);
  assert.is(parts[0], compute("<user> 0")[0]);
  assert.is(parts.at(-1), compute("<user> 299")[0]);
  assert.is(compute("<user> yes", "<user> yes", "<user> yes").length, 1);
});

test.run();
