import * as assert from "uvu/assert";
import { test } from "uvu";
import { Random } from "@almondcrank/common/random.ts";
import { computeArrivals, parsePhases } from "./arrivals.ts";

test("phases and ramps are parsed, and an error names the syntax", () => {
  assert.equal(parsePhases("20:5s,20-60:10s").unsafeCoerce(), [
    { fromRate: 20, toRate: 20, durationMs: 5_000 },
    { fromRate: 20, toRate: 60, durationMs: 10_000 },
  ]);
  assert.match(String(parsePhases("fast").extract()), /is not a phase; write/);
});

test("the number of arrivals matches the rate, and in a ramp its mean", () => {
  const phases = parsePhases("100:20s,0-200:20s").unsafeCoerce();
  const times = computeArrivals(phases, Random.create(3));
  const first = times.filter((time) => time < 20_000).length;
  const second = times.length - first;
  assert.ok(Math.abs(first - 2_000) < 200, `first phase has ${first}`);
  assert.ok(Math.abs(second - 2_000) < 200, `second phase has ${second}`);
  const late = times.filter((time) => time > 30_000).length;
  assert.ok(late > second * 0.7, "the ramp rises");
});

test("the same seed gives the same times in ascending order", () => {
  const phases = parsePhases("50:5s").unsafeCoerce();
  const times = computeArrivals(phases, Random.create(9));
  assert.equal(times, computeArrivals(phases, Random.create(9)));
  assert.equal([...times].sort((a, b) => a - b), [...times]);
});

test.run();
