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
  const chooser = PlainChooser.create({
    clock,
    random: Random.create(5),
    loads: {
      find: (name) => reports.get(name),
      takesCalls: (name) => !leaving.has(name),
      recordSend: () => {},
    },
  });
  const endpoints = names.map(createEndpoint);
  const choose = () => chooser.choose(endpoints, none)?.name;
  return { clock, reports, leaving, chooser, endpoints, choose };
}

test("calls started since a report are added to it", () => {
  const { reports, chooser, choose } = createSetup(["a", "b"]);
  reports.set("a", { running: 1, queued: 0, ageMs: 500, reachable: true });
  reports.set("b", { running: 3, queued: 0, ageMs: 500, reachable: true });
  assert.is(choose(), "a");
  // These three started after the report, which is 500 ms old.
  for (let i = 0; i < 3; i++) chooser.start("a");
  assert.is(choose(), "b");
});

test("a leaving endpoint gets no call, an unreachable one only as last resort", () => {
  const { reports, leaving, choose } = createSetup(["a", "b"]);
  leaving.add("a");
  assert.is(choose(), "b");
  reports.set("b", { running: 0, queued: 0, ageMs: 0, reachable: false });
  assert.is(choose(), "b");
  leaving.add("b");
  assert.is(choose(), undefined);
});

test("an endpoint that failed is avoided for one second", async () => {
  const { clock, chooser, choose } = createSetup(["a", "b"]);
  chooser.start("a").end("failed");
  for (let i = 0; i < 20; i++) assert.is(choose(), "b");
  await clock.advance(1_001);
  const chosen = new Set(Array.from({ length: 20 }, choose));
  assert.ok(chosen.has("a"));
});

test("an endpoint that slowed down is avoided until its duration decays", async () => {
  const { clock, chooser, choose } = createSetup(["a", "b"]);
  const slow = chooser.start("a");
  const fast = chooser.start("b");
  await clock.advance(10);
  fast.end("answered");
  await clock.advance(190);
  slow.end("answered");
  const first = chooser.start("b");
  for (let i = 0; i < 20; i++) assert.is(choose(), "b");
  await clock.advance(60_000);
  assert.is(choose(), "a");
  first.end("answered");
});

test.run();
