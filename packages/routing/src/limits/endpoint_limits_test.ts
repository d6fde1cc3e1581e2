/**
 * Load pattern: a node of the own interface with far more requests than an endpoint
 * takes, which says in its load reports how many a second that are.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Random } from "@almondcrank/common/random.ts";
import type { EndpointLoad } from "@almondcrank/membership/membership.ts";
import { LoadTable } from "../choice/load_table.ts";
import { PlainChooser } from "../choice/plain_chooser.ts";
import { PlainLoads } from "../choice/plain_loads.ts";
import { PrefixIndex } from "../choice/prefix_index.ts";
import { ReplicaChooser } from "../choice/replica_chooser.ts";
import { ReplicaDirectory } from "../choice/service_replicas.ts";
import {
  createConfiguration,
  createEndpoint,
  testService,
} from "../testing/model_setup.ts";
import { EndpointLimits } from "./endpoint_limits.ts";

const hasher = await openHasher();
const perSecond = 1;
const windowMs = 4_000;
const stepMs = 25;
const allowed = 1.5 * perSecond * windowMs / 1_000 + 5;
const endpoints = ["limited", "free"].map((name) => createEndpoint(name, "z"));

function createLimits(clock: ManualClock): EndpointLimits {
  return EndpointLimits.create({ clock, hasher, self: "node-1" });
}

function createLoad(endpoint: string): EndpointLoad {
  return {
    endpoint,
    ageMs: 0,
    queued: 0,
    running: 0,
    // The limited one looks by far the better one.
    slots: endpoint === "limited" ? 64 : 1,
    queuedTokens: 0,
    prefillTokensPerSecond: endpoint === "limited" ? 50_000 : 500,
    betweenTokensMs: 5,
    reachable: true,
    ...(endpoint === "limited" ? { requestsPerSecond: perSecond } : {}),
  };
}

/** Sends at each step for two windows; returns the sends to the limited one. */
async function countSends(
  clock: ManualClock,
  limits: EndpointLimits,
  { report, send }: {
    readonly report: (load: EndpointLoad) => void;
    readonly send: () => string | undefined;
  },
): Promise<number> {
  let sends = 0;
  for (let at = 0; at < 2 * windowMs; at += stepMs) {
    if (at % 200 === 0) {
      for (const { name } of endpoints) report(createLoad(name));
      limits.refresh(["node-1"]);
    }
    const name = send();
    assert.ok(name !== undefined);
    if (name === "limited" && at >= windowMs) sends += 1;
    await clock.advance(stepMs);
  }
  return sends;
}

test("streams keep to the limit that an engine reports", async () => {
  const clock = ManualClock.create();
  const limits = createLimits(clock);
  const loads = LoadTable.create({ clock, limits });
  loads.apply(endpoints);
  const configuration = createConfiguration(endpoints);
  const chooser = ReplicaChooser.create({
    policy: { kind: "predicted" },
    directory: ReplicaDirectory.create({
      current: () => configuration,
    }, hasher),
    loads,
    prefixes: PrefixIndex.create(64),
    clock,
    random: Random.create(3),
  });
  const sends = await countSends(clock, limits, {
    report: (load) => loads.record(load),
    send: () => {
      const choice = chooser.choose({
        service: testService.name,
        chain: [],
        inputTokens: 100,
        outputTokens: 10,
        betweenTokensMs: 32,
      });
      const name = choice?.endpoint.name;
      if (name !== undefined) loads.recordSend(name, 100);
      if (name !== undefined) loads.recordEnd(name);
      return name;
    },
  });
  assert.ok(sends <= allowed, `${sends} sent, allowed ${allowed}`);
  assert.ok(sends >= 1);
});

test("calls keep to the limit that a plain endpoint reports", async () => {
  const clock = ManualClock.create();
  const limits = createLimits(clock);
  const plainLoads = PlainLoads.create({
    clock,
    limits,
    isLeaving: () => false,
  });
  const chooser = PlainChooser.create({
    clock,
    random: Random.create(3),
    loads: plainLoads,
  });
  const sends = await countSends(clock, limits, {
    report: (load) => plainLoads.record(load),
    send: () => {
      const name = chooser.choose(endpoints, new Set())?.name;
      if (name !== undefined) chooser.start(name).end("answered");
      return name;
    },
  });
  assert.ok(sends <= allowed, `${sends} sent, allowed ${allowed}`);
  assert.ok(sends >= 1);
});

test.run();
