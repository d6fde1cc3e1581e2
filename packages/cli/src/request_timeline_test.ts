import { test } from "uvu";
import * as assert from "uvu/assert";
import { parseLogLines } from "./log_lines.ts";
import { composeTimeline, formatTimeline } from "./request_timeline.ts";

const logs = `
   1.0 node-1 {"time":"2026-01-01T00:00:00.000Z","level":"info","part":"feed","message":"replicas changed.","ready":2}
   1.9 node-1 {"time":"2026-01-01T00:00:00.900Z","level":"info","part":"relay","message":"request admitted.","request":"a","afterMs":0,"route":"r"}
   1.9 node-1 {"time":"2026-01-01T00:00:00.900Z","level":"info","part":"relay","message":"send ended.","request":"a","afterMs":40,"outcome":"lost"}
   1.9 node-1 {"time":"2026-01-01T00:00:00.900Z","level":"warn","part":"relay","message":"request ended without an answer.","request":"a","status":502,"ms":90}
   1.9 node-1 {"time":"2026-01-01T00:00:00.900Z","level":"info","part":"relay","message":"request answered.","request":"b","status":200,"ms":5}
   1.9 node-2 {"time":"2026-01-01T00:00:00.900Z","level":"info","part":"feed","message":"replicas changed.","ready":2}
   9.9 node-1 {"time":"2026-01-01T00:00:08.900Z","level":"info","part":"feed","message":"replicas changed.","ready":1}
   9.9 node-1 {"time":"2026-01-01T00:00:0
`;

test("a timeline has the decisions at their times and the context of their nodes", () => {
  const lines = parseLogLines(logs, "file");
  assert.is(
    formatTimeline(composeTimeline(lines, "a")),
    [
      `     -810 ms  node-1  feed: replicas changed. ready=2`,
      `*      +0 ms  node-1  relay: request admitted. route="r"`,
      `*     +40 ms  node-1  relay: send ended. outcome="lost"`,
      `*     +90 ms  node-1  relay: request ended without an answer. status=502 ms=90`,
    ].join("\n"),
  );
});

test("an unknown request has no timeline", () => {
  assert.equal(composeTimeline(parseLogLines(logs, "file"), "c"), []);
});

test("a line without text before it belongs to the node of its file", () => {
  const [line] = parseLogLines(
    `{"time":"2026-01-01T00:00:00.000Z","level":"info","part":"feed","message":"m"}`,
    "node-7",
  );
  assert.is(line?.node, "node-7");
});

test.run();
