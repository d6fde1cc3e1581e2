import * as assert from "uvu/assert";
import { test } from "uvu";
import { Metrics } from "./metrics.ts";

test("each combination of label values has its own counter", () => {
  const metrics = Metrics.create();
  metrics.count("refusals_total", { reason: "overload" });
  metrics.count("refusals_total", { reason: "overload" }, 2);
  metrics.count("refusals_total", { reason: "limit" });
  assert.is(metrics.readCounter("refusals_total", { reason: "overload" }), 3);
  assert.is(metrics.readCounterTotal("refusals_total"), 4);
});

test("the text format declares each metric once", () => {
  const metrics = Metrics.create();
  metrics.count("a_total", { x: "1" });
  metrics.count("a_total", { x: "2" });
  metrics.recordDuration("wait_seconds", 5);
  const text = metrics.format();
  assert.is(text.match(/# TYPE a_total counter/g)?.length, 1);
  assert.match(text, 'a_total{x="1"} 1');
  assert.match(text, 'wait_seconds{quantile="0.5"} 0.005');
});

test.run();
