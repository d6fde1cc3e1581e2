import { test } from "uvu";
import * as assert from "uvu/assert";
import { parseLengthHint, parseReplicaLoad } from "./headers.ts";

function parse(text: string | undefined) {
  return parseReplicaLoad({ "x-replica-load": text });
}

test("a replica states its load and the slowness of its host", () => {
  assert.equal(parse("3,0,8"), {
    running: 3,
    waiting: 0,
    slots: 8,
    slowness: undefined,
  });
  assert.equal(parse("12, 4, 12, 250")?.slowness, 2.5);
});

test("a load that is missing, malformed or can't be true is not read", () => {
  const texts = [
    undefined,
    "",
    "3",
    "3,0",
    "a,0,8",
    "3,,8",
    "-1,0,8",
    "3,-2,8,100",
    "3,0,0",
    "3.5,0,8",
    "1e9,0,8",
    "3,0,NaN",
    "3,0,Infinity",
    "3,0,8,100,7",
  ];
  for (const text of texts) assert.is(parse(text), undefined, text);
});

test("a slowness that can't be true is left out or bounded", () => {
  for (const figure of ["0", "-40", "fast", ""]) {
    assert.is(parse(`3,0,8,${figure}`)?.slowness, undefined, figure);
    assert.is(parse(`3,0,8,${figure}`)?.running, 3, figure);
  }
  assert.is(parse("3,0,8,900000")?.slowness, 20);
  assert.is(parse("3,0,8,1")?.slowness, 0.1);
});

test("a length hint is a positive number of tokens", () => {
  assert.is(parseLengthHint("40"), 40);
  assert.is(parseLengthHint("1000000"), 1_000_000);
  for (const text of [undefined, "", "-3", "0", "many", "1000001", "1e300"]) {
    assert.is(parseLengthHint(text), undefined, text);
  }
});

test.run();
