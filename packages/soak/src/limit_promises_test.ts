/**
 * The check of limits finds records that break one and accepts others.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRun, listBrokenPromises } from "./record_fixture.ts";
import type { FaultSpan, RunRecord } from "./records.ts";

const limit = { replica: "booking-1", perSecond: 1, from: 0, to: 20_000 };
const promise = "a replica's limit is kept";

function createRuns(count: number, from: number): readonly RunRecord[] {
  return Array.from(
    { length: count },
    (_, at) =>
      createRun({ id: `r${at}`, startedAt: from + at, endedAt: from + at }),
  );
}

function isFound(
  runs: readonly RunRecord[],
  faults: readonly FaultSpan[] = [],
): boolean {
  return listBrokenPromises({ limits: [limit], runs, faults })
    .includes(promise);
}

test("more requests than a limit allows are found", () => {
  assert.is(isFound(createRuns(12, 5_000)), true);
  assert.is(isFound(createRuns(11, 5_000)), false);
});

test("requests before the nodes have to know the limit do not count", () => {
  assert.is(isFound(createRuns(12, 1_000)), false);
});

test("requests beside a fault that keeps nodes apart do not count", () => {
  const fault = {
    from: 3_000,
    to: 4_000,
    name: "node_stop",
    isMasked: false,
    target: "n",
  };
  assert.is(isFound(createRuns(12, 5_000), [fault]), false);
  assert.is(
    isFound(createRuns(12, 5_000), [{ ...fault, name: "node_hup" }]),
    true,
  );
});

test.run();
