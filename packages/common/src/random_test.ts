import * as assert from "uvu/assert";
import { test } from "uvu";
import { Random } from "./random.ts";

test("the same seed gives the same numbers", () => {
  const a = Random.create(7);
  const b = Random.create(7);
  for (let i = 0; i < 100; i++) assert.is(a.next(), b.next());
});

test("numbers are spread over the unit interval", () => {
  const random = Random.create(1);
  let sum = 0;
  for (let i = 0; i < 10_000; i++) sum += random.next();
  assert.ok(Math.abs(sum / 10_000 - 0.5) < 0.02);
});

test.run();
