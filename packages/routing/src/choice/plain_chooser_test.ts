import * as assert from "uvu/assert";
import { test } from "uvu";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Random } from "@almondcrank/common/random.ts";
import type { Endpoint } from "@almondcrank/common/configuration.ts";
import { PlainChooser, type ReportedLoad } from "./plain_chooser.ts";

const none: ReadonlySet<string> = new Set();

function createEndpoint(name: string): Endpoint {
  return {
    name,
    service: "booking",
    address: "127.0.0.1:1",
    host: name,
    zone: "z",
    machineClass: "m",
    market: "on_demand",
    checksFencing: false,
  };
}

function createSetup(names: readonly string[]) {
  const clock = ManualClock.create();
  const reports = new Map<string, ReportedLoad>();
  const leaving = new Set<string>();
  const choice = PlainChooser.create({
    clock,
    random: Random.create(5),
    loads: {
      find: (name) => reports.get(name),
      isLeaving: (name) => leaving.has(name),
    },
  });
  const endpoints = names.map(createEndpoint);
  const choose = () => choice.choose(endpoints, none)?.name;
  return { clock, reports, leaving, choice, endpoints, choose };
}

test("calls since a report count on top of it", () => {
  const { reports, choice, choose } = createSetup(["a", "b"]);
  reports.set("a", { running: 1, queued: 0, ageMs: 500, reachable: true });
  reports.set("b", { running: 3, queued: 0, ageMs: 500, reachable: true });
  assert.is(choose(), "a");
  // The report of 500 ms ago does not know these three.
  for (let i = 0; i < 3; i++) choice.start("a");
  assert.is(choose(), "b");
});

test("a leaving endpoint gets no call, an unreachable one only as the last", () => {
  const { reports, leaving, choose } = createSetup(["a", "b"]);
  leaving.add("a");
  assert.is(choose(), "b");
  reports.set("b", { running: 0, queued: 0, ageMs: 0, reachable: false });
  assert.is(choose(), "b");
  leaving.add("b");
  assert.is(choose(), undefined);
});

test("an endpoint that failed is avoided for a while", async () => {
  const { clock, choice, choose } = createSetup(["a", "b"]);
  choice.start("a").end("failed");
  for (let i = 0; i < 20; i++) assert.is(choose(), "b");
  await clock.advance(1_001);
  const chosen = new Set(Array.from({ length: 20 }, choose));
  assert.ok(chosen.has("a"));
});

test("an endpoint that turned slow is avoided until that fades", async () => {
  const { clock, choice, choose } = createSetup(["a", "b"]);
  const slow = choice.start("a");
  const fast = choice.start("b");
  await clock.advance(10);
  fast.end("answered");
  await clock.advance(190);
  slow.end("answered");
  const first = choice.start("b");
  for (let i = 0; i < 20; i++) assert.is(choose(), "b");
  await clock.advance(60_000);
  assert.is(choose(), "a");
  first.end("answered");
});

test.run();
