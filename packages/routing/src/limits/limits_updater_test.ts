import * as assert from "uvu/assert";
import { test } from "uvu";
import { Emitter } from "@almondcrank/common/emitter.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import { emptyConfiguration } from "@almondcrank/common/configuration.ts";
import type {
  EndpointLoad,
  Member,
  MemberState,
  NodeReport,
  TeamDemand,
} from "@almondcrank/membership/membership.ts";
import type { ZoneAggregate } from "@almondcrank/membership/zone_summary.ts";
import { LimitsUpdater } from "./limits_updater.ts";
import { type LimitsUpdate, TeamLimits } from "./team_limits.ts";

const endpoint = {
  service: "booking",
  address: "127.0.0.1:1",
  host: "h",
  zone: "z1",
  machineClass: "m",
  market: "on_demand",
  checksFencing: false,
} as const;

function createMember(node: string, zone: string, state: MemberState): Member {
  const identity = {
    node,
    incarnation: "i",
    zone,
    region: "r",
    peerAddress: "127.0.0.1:1",
  };
  return { identity, state, revision: 1 };
}

function createLoad(name: string, slots: number, queued = 0): EndpointLoad {
  return {
    endpoint: name,
    ageMs: 0,
    queued,
    running: 0,
    slots,
    queuedTokens: 0,
    prefillTokensPerSecond: 0,
    betweenTokensMs: 0,
    reachable: true,
  };
}

function createSetup(members: readonly Member[]) {
  const clock = ManualClock.create();
  const reports = Emitter.create<NodeReport>();
  const aggregates = Emitter.create<ZoneAggregate>();
  const loads = Emitter.create<EndpointLoad>();
  const updates: LimitsUpdate[] = [];
  let published: readonly TeamDemand[] = [];
  const configuration = {
    current: () => ({
      ...emptyConfiguration,
      services: [{
        kind: "plain" as const,
        name: "booking",
        idempotentMethods: [],
        timeoutMs: 1_000,
      }],
      endpoints: ["a", "b"].map((name) => ({ ...endpoint, name })),
      teams: [{ name: "t", keyHash: "", priority: 1, share: 1 }],
    }),
  };
  const createLimits = (unit: "requests" | "tokens") =>
    TeamLimits.create({
      clock,
      random: Random.create(1),
      metrics: Metrics.create(),
      configuration,
      pool: unit,
      unit,
    });
  const calls = createLimits("requests");
  const update = calls.update.bind(calls);
  calls.update = (known) => {
    updates.push(known);
    update(known);
  };
  const models = createLimits("tokens");
  const updater = LimitsUpdater.create({
    clock,
    configuration,
    membership: {
      self: createMember("self", "z1", "alive").identity,
      list: () => members,
      setDemand: (demand) => published = demand,
      onNodeReport: reports.event,
      onAggregate: aggregates.event,
    },
    onLoad: loads.event,
    modelLimits: models,
    plainLimits: calls,
  });
  updater.start();
  const readUpdate = async (): Promise<LimitsUpdate> => {
    await clock.advance(1_000);
    return updates.at(-1)!;
  };
  return {
    clock,
    reports,
    aggregates,
    loads,
    models,
    calls,
    updater,
    readUpdate,
    readPublishedDemand: () => published,
  };
}

const demand = [{ team: "t", requestsPerSecond: 5, tokensPerSecond: 0 }];

test("demand comes from live peers that reported and from other data centres", async () => {
  const setup = createSetup([
    createMember("n1", "z1", "alive"),
    createMember("n2", "z1", "suspected"),
    createMember("n3", "z1", "alive"),
    createMember("n4", "z2", "alive"),
    createMember("n5", "z2", "alive"),
  ]);
  for (const node of ["n1", "n2"]) {
    setup.reports.fire({
      node,
      incarnation: "i",
      demand,
      loads: [],
      leaving: [],
    });
  }
  setup.aggregates.fire({ zone: "z2", services: [], demand });
  const { peers, liveNodes } = await setup.readUpdate();
  assert.is(liveNodes, 5);
  assert.equal(peers.map(({ nodes }) => nodes), [1, 2]);
  await setup.clock.advance(6_000);
  // Summaries are sent every 4 s and take time to spread, so one of this age is used.
  assert.equal((await setup.readUpdate()).peers.map(({ nodes }) => nodes), [2]);
  await setup.clock.advance(6_000);
  assert.is((await setup.readUpdate()).peers.length, 0);
  setup.updater.dispose();
});

test("capacity counts the endpoints of other data centres", async () => {
  const setup = createSetup([createMember("n4", "z2", "alive")]);
  assert.is((await setup.readUpdate()).capacity, undefined);
  setup.loads.fire(createLoad("a", 8, 2));
  setup.reports.fire({
    node: "n4",
    incarnation: "i",
    demand,
    loads: [createLoad("b", 4)],
    leaving: [],
  });
  assert.equal((await setup.readUpdate()).capacity, { slots: 12, queued: 2 });
  setup.aggregates.fire({
    zone: "z2",
    services: [{
      service: "booking",
      reachable: 2,
      freeSlots: 0,
      queuedTokens: 0,
    }],
    demand,
  });
  assert.equal((await setup.readUpdate()).capacity, { slots: 24, queued: 4 });
  setup.updater.dispose();
});

test("the demand of both request paths is published", async () => {
  const setup = createSetup([]);
  const team = { name: "t", keyHash: "", priority: 1, share: 1 };
  for (let i = 0; i < 10; i++) setup.calls.admit(team, 1);
  setup.models.admit(team, 400);
  await setup.readUpdate();
  const [published] = setup.readPublishedDemand();
  assert.ok((published?.requestsPerSecond ?? 0) > 0);
  assert.ok((published?.tokensPerSecond ?? 0) > 0);
  setup.updater.dispose();
});

test.run();
