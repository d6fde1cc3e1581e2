import { test } from "uvu";
import * as assert from "uvu/assert";
import { DecayingValue } from "./decaying_value.ts";

test("a value is forgotten while nothing is recorded", () => {
  const value = DecayingValue.create(1_000);
  assert.is(value.read(5_000), 0);
  value.write(8, 5_000);
  assert.is(value.read(5_000), 8);
  assert.ok(Math.abs(value.read(6_000) - 8 / Math.E) < 1e-9);
  assert.ok(value.read(60_000) < 1e-9);
});

test("what is added counts from its own time", () => {
  const value = DecayingValue.create(1_000);
  value.add(3, 0);
  value.add(3, 1_000);
  assert.ok(Math.abs(value.read(1_000) - (3 + 3 / Math.E)) < 1e-9);
});

test.run();
