import * as assert from "uvu/assert";
import { test } from "uvu";
import { Random } from "./random.ts";

test("the same seed gives the same numbers", () => {
  const a = Random.create(7);
  const b = Random.create(7);
  for (let i = 0; i < 100; i++) assert.is(a.next(), b.next());
});

test("numbers are uniform over the unit interval", () => {
  const random = Random.create(1);
  let sum = 0;
  for (let i = 0; i < 10_000; i++) sum += random.next();
  assert.ok(Math.abs(sum / 10_000 - 0.5) < 0.02);
});

test("the first numbers after small seeds are uniform too", () => {
  const seeds = 200;
  for (let position = 0; position < 4; position++) {
    let sum = 0;
    for (let seed = 1; seed <= seeds; seed++) {
      const random = Random.create(seed);
      for (let skipped = 0; skipped < position; skipped++) random.next();
      sum += random.next();
    }
    // Five standard deviations of the mean of 200 uniform numbers.
    const tolerance = 5 * Math.sqrt(1 / 12 / seeds);
    assert.ok(Math.abs(sum / seeds - 0.5) < tolerance, `position ${position}`);
  }
});

test.run();
