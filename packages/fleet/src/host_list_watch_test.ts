import { type Either, Left, Right } from "purify-ts";
import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  emptyConfiguration,
  type Endpoint,
} from "@almondcrank/common/configuration.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import type {
  HostListing,
  HostState,
} from "@almondcrank/infrastructure/host_list.ts";
import { PlatformError } from "@almondcrank/infrastructure/platform_error.ts";
import { HostListWatch } from "./host_list_watch.ts";

const endpoints: readonly Endpoint[] = ["a", "b", "c"].map((name) => ({
  name,
  service: "assistant",
  address: "127.0.0.1:1",
  host: `host-${name}`,
  zone: "z1",
  machineClass: "m",
  market: "reclaimable",
  checksFencing: true,
}));

function createListing(states: Readonly<Record<string, HostState>>) {
  const hosts = Object.entries(states).map(([host, state]) => ({
    host,
    zone: "z1",
    machineClass: "m",
    market: "reclaimable" as const,
    state,
  }));
  return Right({ asOf: 0, hosts });
}

function createSetup(isReader = true) {
  const clock = ManualClock.create();
  const leaving = new Set<string>();
  const marked: string[] = [];
  const world: { answer: Either<PlatformError, HostListing> } = {
    answer: createListing({}),
  };
  const metrics = Metrics.create();
  const watch = HostListWatch.create({
    hosts: { list: () => Promise.resolve(world.answer) },
    configuration: { current: () => ({ ...emptyConfiguration, endpoints }) },
    isReader: () => isReader,
    isLeaving: (endpoint) => leaving.has(endpoint),
    markLeaving: (list) => {
      for (const { endpoint } of list) {
        leaving.add(endpoint);
        marked.push(endpoint);
      }
    },
    clock,
    random: Random.create(1),
    metrics,
  });
  return { clock, leaving, marked, world, metrics, watch };
}

test("a host that the list calls leaving is marked once", async () => {
  const { clock, marked, world, watch } = createSetup();
  world.answer = createListing({ "host-a": "leaving", "host-b": "live" });
  await clock.advance(30_000);
  assert.equal(marked, ["a"]);
  watch.dispose();
});

test("a leaving host that the list still calls live stays leaving", async () => {
  const { clock, leaving, marked, world, watch } = createSetup();
  leaving.add("b");
  world.answer = createListing({ "host-b": "live" });
  await clock.advance(30_000);
  assert.ok(leaving.has("b"));
  assert.equal(marked, []);
  watch.dispose();
});

test("live hosts that the list does not name are left alone", async () => {
  const { clock, marked, watch } = createSetup();
  await clock.advance(30_000);
  assert.equal(marked, []);
  watch.dispose();
});

test("an outage of the list is counted and passes", async () => {
  const { clock, marked, world, metrics, watch } = createSetup();
  world.answer = Left(PlatformError.create({
    kind: "unavailable",
    service: "host_list",
    reason: "out",
  }));
  await clock.advance(30_000);
  assert.ok(metrics.readCounterTotal("host_list_failures_total") > 0);
  world.answer = createListing({ "host-c": "leaving" });
  await clock.advance(10_000);
  assert.equal(marked, ["c"]);
  watch.dispose();
});

test("a node that is no reader does not call the list", async () => {
  const { clock, marked, world, watch } = createSetup(false);
  world.answer = createListing({ "host-a": "leaving" });
  await clock.advance(30_000);
  assert.equal(marked, []);
  watch.dispose();
});

test.run();
