/**
 * What the holder reports of an order that another holder ended.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import type { RolloutState } from "./rollout.ts";
import { RolloutBook } from "./rollout_book.ts";
import {
  RolloutControl,
  type RolloutEntry,
  type RolloutEvent,
} from "./rollout_control.ts";
import { RolloutEvidence } from "./rollout_evidence.ts";

const entry: RolloutEntry = {
  service: "s",
  to: "v2",
  durationMs: 12_000,
  version: 7,
  state: undefined,
};

/** Takes up an order and ends it; returns the reason that is reported. */
function reportEnd(end: (control: RolloutControl) => void): string | undefined {
  const events: RolloutEvent[] = [];
  const control = RolloutControl.create({
    book: RolloutBook.create(),
    limit: { share: 0.1, tolerance: 50 },
    readView: () => ({
      versions: ["v1", "v2"],
      isConfigured: true,
      oldReplicas: 1,
      freshReplicas: 1,
    }),
    readCounts: () => ({
      sums: new Map(),
      sent: { all: 0, fresh: 0 },
      requestsPerSecond: 0,
      evidence: RolloutEvidence.create(),
    }),
    onEvent: (event) => events.push(event),
  });
  control.applyEntry(entry, { absentAt: 0, now: 0 });
  end(control);
  return events.find(({ kind }) => kind === "ended")?.reason;
}

test("an end that another holder wrote is reported as the store's", () => {
  for (const state of ["reverted", "completed"] as const) {
    const reason = reportEnd((control) =>
      control.applyEntry({ ...entry, state, version: 8 }, {
        absentAt: 100,
        now: 100,
      })
    );
    assert.is(reason, `${state}: the store has this end`);
  }
});

test("an end that this holder wrote is reported with its reason", () => {
  const state: RolloutState = "completed";
  const reason = reportEnd((control) =>
    control.recordWritten({ service: "s", to: "v2", state, version: 7 }, 8, 100)
  );
  assert.is(reason, "completed: no fault was seen");
});

test.run();
