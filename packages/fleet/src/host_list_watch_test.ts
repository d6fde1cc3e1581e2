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
  const hostList: { answer: Either<PlatformError, HostListing> } = {
    answer: createListing({}),
  };
  const metrics = Metrics.create();
  const watch = HostListWatch.create({
    hosts: { list: () => Promise.resolve(hostList.answer) },
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
  return { clock, leaving, marked, hostList, metrics, watch };
}

test("a host listed as leaving is marked once", async () => {
  const { clock, marked, hostList, watch } = createSetup();
  hostList.answer = createListing({ "host-a": "leaving", "host-b": "live" });
  await clock.advance(30_000);
  assert.equal(marked, ["a"]);
  watch.dispose();
});

test("a leaving host that is still listed as live stays leaving", async () => {
  const { clock, leaving, marked, hostList, watch } = createSetup();
  leaving.add("b");
  hostList.answer = createListing({ "host-b": "live" });
  await clock.advance(30_000);
  assert.ok(leaving.has("b"));
  assert.equal(marked, []);
  watch.dispose();
});

test("live hosts that are not listed are not marked", async () => {
  const { clock, marked, watch } = createSetup();
  await clock.advance(30_000);
  assert.equal(marked, []);
  watch.dispose();
});

test("an outage of the host list is counted, and reading resumes after it", async () => {
  const { clock, marked, hostList, metrics, watch } = createSetup();
  hostList.answer = Left(PlatformError.create({
    kind: "unavailable",
    service: "host_list",
    reason: "out",
  }));
  await clock.advance(30_000);
  assert.ok(metrics.readCounterTotal("host_list_failures_total") > 0);
  hostList.answer = createListing({ "host-c": "leaving" });
  await clock.advance(10_000);
  assert.equal(marked, ["c"]);
  watch.dispose();
});

test("a node that is not a reader does not read the list", async () => {
  const { clock, marked, hostList, watch } = createSetup(false);
  hostList.answer = createListing({ "host-a": "leaving" });
  await clock.advance(30_000);
  assert.equal(marked, []);
  watch.dispose();
});

test.run();
