/**
 * Parsing of scenario files and errors in them.
 */

import * as assert from "uvu/assert";
import { test } from "uvu";
import { parseScenario } from "./parse_scenario.ts";
import type { Step } from "./step.ts";

function parseOne(line: string): Step | undefined {
  return parseScenario("t.scenario", line).unsafeCoerce().steps[0]?.step;
}

test("steps with placeholders are parsed", () => {
  assert.equal(
    parseOne("fleet of 3 nodes, 4 engines, 1 bookings in 2 zones"),
    { kind: "fleet", nodes: 3, engines: 4, bookings: 1, zones: 2 },
  );
  assert.equal(parseOne("engine serving a freezes"), {
    kind: "engine",
    engine: { kind: "serving", chat: "a" },
    fault: { kind: "freeze" },
  });
  assert.equal(parseOne("reclaim engine 2 with 5000 ms notice"), {
    kind: "reclaim_engine",
    engine: { kind: "number", engine: 2 },
    noticeMs: 5_000,
  });
  assert.equal(parseOne('book b at node 1 slot "x/1" with the key of a'), {
    kind: "book",
    name: "b",
    node: 1,
    slot: "x/1",
    key: { kind: "of", booking: "a" },
  });
  assert.equal(parseOne("expect b run ran or unknown"), {
    kind: "expect",
    name: "b",
    expectation: { kind: "run", states: ["ran", "unknown"] },
  });
});

test("the error for an unknown step contains file, line and text", () => {
  const message = String(
    parseScenario("t.scenario", "# comment\nkill everything").extract(),
  );
  assert.match(message, 't.scenario:2: "kill everything" is not a step');
});

test("comments, blank lines and metadata are read", () => {
  const scenario = parseScenario(
    "t.scenario",
    '# top\n\ntitle "A" # beside\npromise whole_answer\nfault kill\n',
  ).unsafeCoerce();
  assert.is(scenario.title, "A");
  assert.equal(scenario.promises, ["whole_answer"]);
  assert.equal(scenario.faults, ["kill"]);
});

test.run();
