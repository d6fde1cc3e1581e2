/**
 * The checks beside silent replicas and parts that crash replicas find records
 * that break a promise and accept others.
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
import type {
  CallerRecord,
  CrashRecord,
  FaultSpan,
  RunRecord,
  SoakRecords,
} from "./records.ts";

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

/** Streams with their runs; `fails` tells whether the one at an index failed. */
function createStreams(
  count: number,
  { prefix, at, change = {}, fails = () => false }: {
    readonly prefix: string;
    readonly at: number;
    readonly change?: Partial<CallerRecord>;
    readonly fails?: (index: number) => boolean;
  },
): Pick<SoakRecords, "callers" | "runs"> {
  const refusal = { status: 503, seal: undefined, text: "" };
  const callers = Array.from({ length: count }, (_, index) =>
    createStream({
      id: `${prefix}${index}`,
      sentAt: at,
      endedAt: at + 10,
      ...change,
      ...(fails(index) ? refusal : {}),
    }));
  const runs = callers.filter(({ status }) => status === 200)
    .map(({ id }) => createStreamRun(id));
  return { callers, runs };
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

/** Crashes under one part, a second apart. */
function createCrashes(count: number): readonly CrashRecord[] {
  return Array.from({ length: count }, (_, index) => ({
    part: "bad0",
    replica: `models-${index}`,
    at: 1_000 * (index + 1),
  }));
}

test("requests with a part that crashed five replicas are found at others", () => {
  const check = (
    arrivals: number,
    { crashes = 5, at = 8_001, promptParts = "a:1,bad0:2,own:3" } = {},
  ): readonly string[] =>
    listBrokenPromises({
      crashes: createCrashes(crashes),
      promptArrivals: Array.from({ length: arrivals }, (_, index) => ({
        id: `r${index}`,
        replica: "models-9",
        at,
        promptParts,
      })),
    });
  const promise = "a part that crashes replicas is held back";
  assert.equal(check(4), [promise]);
  assert.equal(check(3), []);
  assert.equal(check(4, { crashes: 4 }), []);
  assert.equal(check(4, { at: 8_000 }), []);
  assert.equal(check(4, { promptParts: "a:1,own:3" }), []);
});

test("sound requests that fail beside a part that crashes replicas are found", () => {
  const createCrashing = (at: number): CallerRecord =>
    createStream({
      id: `bad${at}`,
      sentAt: at,
      endedAt: at + 5,
      crashingPart: "bad0",
    });
  const check = (
    failed: number,
    { count = 20, crashes = 5, change = {} }: {
      readonly count?: number;
      readonly crashes?: number;
      readonly change?: Partial<CallerRecord>;
    } = {},
  ): readonly string[] => {
    const before = createStreams(20, { prefix: "a", at: 500 });
    const beside = createStreams(count, {
      prefix: "b",
      at: 11_001,
      change,
      fails: (index) => index < failed,
    });
    return listBrokenPromises({
      callers: [
        ...before.callers,
        ...beside.callers,
        createCrashing(900),
        createCrashing(12_000),
      ],
      runs: [
        ...before.runs,
        ...beside.runs,
        createStreamRun("bad900"),
        createStreamRun("bad12000"),
      ],
      crashes: createCrashes(crashes),
      // The check of recovery is not what is tested.
      faultsEndAt: 12_000,
    });
  };
  const promise =
    "sound requests are served beside a part that crashes replicas";
  assert.equal(check(11), [promise]);
  assert.equal(check(10), []);
  assert.equal(check(11, { crashes: 1 }), [promise]);
  assert.equal(check(11, { crashes: 6 }), [promise]);
  assert.equal(check(11, { count: 19 }), []);
  assert.equal(check(20, { change: { sentAt: 11_000 } }), []);
  assert.equal(check(20, { change: { crashingPart: "bad0" } }), []);
});

test("resumed streams that fail while new ones begin are found", () => {
  const check = (failed: number, { fresh = 0, count = 20 } = {}) => {
    const begun = createStreams(20, {
      prefix: "a",
      at: 500,
      fails: (index) => index < fresh,
    });
    const resumed = createStreams(count, {
      prefix: "b",
      at: 600,
      change: { isReturn: true },
      fails: (index) => index < failed,
    });
    return listBrokenPromises({
      callers: [...begun.callers, ...resumed.callers],
      runs: [...begun.runs, ...resumed.runs],
      faultsEndAt: 600,
    });
  };
  const promise = "streams that callers resume go on";
  assert.equal(check(11), [promise]);
  assert.equal(check(10), []);
  assert.equal(check(15, { fresh: 10 }), []);
  assert.equal(check(16, { fresh: 10 }), [promise]);
  assert.equal(check(6, { count: 10 }), [promise]);
  assert.equal(check(9, { count: 9 }), []);
});

test.run();
