/**
 * The checks beside silent replicas find records that break a promise and accept
 * others.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { formatExpectedBody } from "./promises.ts";
import {
  createCaller,
  createRun,
  events,
  firstText,
  listBrokenPromises,
} from "./record_fixture.ts";
import type { CallerRecord, FaultSpan, RunRecord } from "./records.ts";

/** Path of streams that callers may resume. */
const streamPath = "/answer/draft/stream";

/** A stream of the soak, whole and served unless changed. */
function createStream(change: Partial<CallerRecord>): CallerRecord {
  const { id = "r" } = change;
  return createCaller({
    id,
    kind: "stream",
    path: streamPath,
    seal: "seal-of-models-1",
    text: formatExpectedBody({ kind: "stream", id }, events, firstText),
    ...change,
  });
}

function createStreamRun(
  id: string,
  change: Partial<RunRecord> = {},
): RunRecord {
  return createRun({
    id,
    replica: "models-1",
    service: "models",
    path: streamPath,
    ...change,
  });
}

test("a stream that breaks because its replica is silent is found", () => {
  const silence = {
    from: 150,
    to: 1_150,
    name: "replica_falls_silent",
    isMasked: true,
    target: "models-1",
  };
  const kill = { ...silence, name: "node_kill", isMasked: false };
  const check = (
    change: Partial<CallerRecord>,
    faults: readonly FaultSpan[] = [],
  ): boolean =>
    listBrokenPromises({
      callers: [createStream({ endedAt: 900, ...change })],
      runs: [createStreamRun("r")],
      faults: [silence, ...faults],
    }).includes("a stream outlasts its replica's silence");
  const cut = { isComplete: false, text: "" };
  assert.not.ok(check({}));
  assert.ok(check(cut));
  assert.ok(check({ status: 503, seal: undefined, text: "" }));
  assert.ok(check({ status: 504, seal: undefined, text: "" }));
  assert.not.ok(check({ ...cut, leftAt: 900 }));
  assert.not.ok(check({ ...cut, endedAt: 2_100 }), "its time was over");
  assert.ok(check(cut, [{ ...kill, target: "models-2" }]));
  assert.not.ok(check(cut, [{ ...kill, target: "models-1" }]));
  assert.not.ok(check(cut, [{ ...kill, target: "n" }]));
  assert.not.ok(check(cut, [{ ...kill, target: undefined }]));
  const other = { ...silence, target: "models-2" };
  assert.ok(check(cut, [other]));
});

test("a silence excuses no stream of another replica and breaks none", () => {
  const found = listBrokenPromises({
    callers: [createStream({ isComplete: false, text: "" })],
    runs: [createStreamRun("r")],
    faults: [{
      from: 50,
      to: 1_050,
      name: "replica_falls_silent",
      isMasked: true,
      target: "models-2",
    }],
  });
  assert.equal(found, ["answers break only beside faults"]);
});

test.run();
