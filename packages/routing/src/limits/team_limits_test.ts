import * as assert from "uvu/assert";
import { test } from "uvu";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import {
  emptyConfiguration,
  type Team,
} from "@almondcrank/common/configuration.ts";
import { computeShares } from "./share_allocation.ts";
import { PoolCapacityMeter } from "../choice/pool_capacity.ts";
import { TeamLimits } from "./team_limits.ts";
import {
  computeOnTimeShare,
  LimitsSimulation,
} from "../testing/limits_simulation.ts";

const chain: Team = { name: "chain", keyHash: "", priority: 1, share: 4 };
const garage: Team = { name: "garage", keyHash: "", priority: 1, share: 1 };
const press: Team = { name: "press", keyHash: "", priority: 3, share: 1 };
const teams = [chain, garage, press];

// 32 slots of 50 ms take 640 requests a second.
const options = {
  nodes: 4,
  slots: 32,
  meanServiceMs: 50,
  dueMs: 400,
  teams,
  seed: 11,
};
const capacityPerSecond = 640;
const warmUpMs = 4_000;

/** On-time share of `team` at `perSecond` beside a flood by the chain. */
async function measureOnTime(
  team: Team,
  perSecond: number,
  { floodFactor, change = () => {} }: {
    readonly floodFactor: number;
    readonly change?: (world: LimitsSimulation) => void;
  },
): Promise<number> {
  const world = LimitsSimulation.create(options);
  change(world);
  const untilMs = 12_000;
  void world.sendRequests(team, perSecond, untilMs);
  if (floodFactor > 0) {
    void world.sendRequests(chain, floodFactor * capacityPerSecond, untilMs);
  }
  await world.clock.advance(warmUpMs);
  world.readTotals(team);
  await world.clock.advance(untilMs - warmUpMs + 2_000);
  world.dispose();
  return computeOnTimeShare(world.readTotals(team));
}

for (const team of [garage, press]) {
  test(`a flood leaves ${team.name} of priority ${team.priority} its on-time share`, async () => {
    const alone = await measureOnTime(team, 30, { floodFactor: 0 });
    const flooded = await measureOnTime(team, 30, { floodFactor: 5 });
    assert.ok(alone > 0.98, `alone ${alone}`);
    assert.ok(flooded >= 0.95 * alone, `${flooded} beside ${alone}`);
  });
}

test("without limits the same flood starves the small team", async () => {
  // Capacity 0 stands for an unknown pool, for which nothing is limited.
  const world = LimitsSimulation.create({ ...options, nodes: 1 });
  const [node] = world.nodes;
  const update = node!.limits.update.bind(node!.limits);
  node!.limits.update = (known) => update({ ...known, capacity: undefined });
  void world.sendRequests(garage, 30, 6_000);
  void world.sendRequests(chain, 5 * capacityPerSecond, 6_000);
  await world.clock.advance(7_000);
  world.dispose();
  assert.ok(computeOnTimeShare(world.readTotals(garage)) < 0.2);
});

test("silent peers and split views leave the small team its share", async () => {
  const silent = await measureOnTime(garage, 30, {
    floodFactor: 5,
    change: (world) => {
      for (const node of world.nodes) node.silent = true;
    },
  });
  assert.ok(silent >= 0.95, `silent ${silent}`);
  const split = await measureOnTime(garage, 30, {
    floodFactor: 5,
    change: (world) => {
      for (const node of world.nodes.slice(2)) node.group = 1;
    },
  });
  assert.ok(split >= 0.95, `split ${split}`);
});

test("an unused share is lent and taken back within two seconds", async () => {
  const world = LimitsSimulation.create(options);
  void world.sendRequests(chain, 2 * capacityPerSecond, 14_000);
  await world.clock.advance(warmUpMs);
  world.readTotals(chain);
  await world.clock.advance(4_000);
  const lent = world.readTotals(chain).onTime / 4;
  assert.ok(lent >= 0.9 * capacityPerSecond, `${lent} a second`);
  // The garage comes with most of its fair fifth of the capacity.
  void world.sendRequests(garage, 90, 14_000);
  await world.clock.advance(2_000);
  world.readTotals(garage);
  await world.clock.advance(4_000);
  world.dispose();
  const back = computeOnTimeShare(world.readTotals(garage));
  assert.ok(back >= 0.95, `${back}`);
});

test("the last node standing serves what the pool can take", async () => {
  const world = LimitsSimulation.create(options);
  void world.sendRequests(chain, 2 * capacityPerSecond, 12_000);
  void world.sendRequests(garage, 30, 12_000);
  await world.clock.advance(warmUpMs);
  for (const node of world.nodes.slice(1)) node.alive = false;
  await world.clock.advance(3_000);
  for (const team of teams) world.readTotals(team);
  await world.clock.advance(4_000);
  const garageShare = computeOnTimeShare(world.readTotals(garage));
  const chainPerSecond = world.readTotals(chain).onTime / 4;
  world.dispose();
  assert.ok(garageShare >= 0.95, `garage ${garageShare}`);
  assert.ok(chainPerSecond >= 0.85 * capacityPerSecond, `${chainPerSecond}`);
});

test("nothing is refused while the pool is not contended", async () => {
  const world = LimitsSimulation.create(options);
  void world.sendRequests(chain, 0.6 * capacityPerSecond, 8_000);
  void world.sendRequests(garage, 0.05 * capacityPerSecond, 8_000);
  await world.clock.advance(10_000);
  world.dispose();
  assert.is(world.readTotals(chain).refused, 0);
  assert.is(world.readTotals(garage).refused, 0);
});

test("a team may take a free pool at once through one node of nine", async () => {
  const clock = ManualClock.create();
  const limits = TeamLimits.create({
    clock,
    random: Random.create(1),
    metrics: Metrics.create(),
    configuration: { current: () => ({ ...emptyConfiguration, teams }) },
    pool: "p",
    unit: "requests",
  });
  limits.admit(garage, 1).unsafeCoerce().release();
  await clock.advance(1_000);
  const peers = [{ nodes: 8, demand: [] }];
  const capacity = { slots: 64, queued: 0 };
  limits.update({ peers, liveNodes: 9, capacity });
  let admitted = 0;
  for (let i = 0; i < 100; i++) {
    if (limits.admit(garage, 1).isRight()) admitted++;
  }
  assert.ok(admitted >= 64 && admitted <= 80, `${admitted} admitted`);
});

test("shares: guaranteed part, priority, weights, lending", () => {
  const need = (team: Team, demand: number) => ({
    team: team.name,
    priority: team.priority,
    weight: team.share,
    demand,
  });
  const amounts = (...needs: ReturnType<typeof need>[]) =>
    computeShares(60, needs).map(({ amount }) => Math.round(amount));
  // All flood: half of the fair 40, 10, 10, the rest to priority 1 by weight.
  assert.equal(
    amounts(need(chain, 999), need(garage, 999), need(press, 999)),
    [44, 11, 5],
  );
  assert.equal(amounts(need(chain, 999), need(garage, 2), need(press, 1)), [
    57,
    2,
    1,
  ]);
  assert.equal(amounts(need(chain, 10), need(garage, 0), need(press, 999)), [
    10,
    0,
    50,
  ]);
});

test("the wait told grows with the excess and a release counts once", async () => {
  const clock = ManualClock.create();
  const limits = TeamLimits.create({
    clock,
    random: Random.create(1),
    metrics: Metrics.create(),
    configuration: {
      current: () => ({ ...emptyConfiguration, teams: [chain] }),
    },
    pool: "p",
    unit: "requests",
  });
  const update = () =>
    limits.update({
      peers: [],
      liveNodes: 1,
      capacity: { slots: 4, queued: 0 },
    });
  const admission = limits.admit(chain, 1).unsafeCoerce();
  await clock.advance(100);
  admission.release();
  admission.release();
  const readWait = async (offers: number) => {
    for (let i = 0; i < offers; i++) limits.admit(chain, 1);
    await clock.advance(1_000);
    update();
    const refusal = limits.check(chain, 1).swap().unsafeCoerce();
    assert.is(refusal.kind, "over_limit");
    assert.is(refusal.run, "not_run");
    return refusal.detail.retryAfterMs ?? 0;
  };
  const few = await readWait(200);
  const many = await readWait(2_000);
  assert.ok(many > 3 * few, `${few} then ${many} ms`);
});

test("capacity of endpoints without slots is learnt when they queue", () => {
  const meter = PoolCapacityMeter.create();
  const load = (running: number, queued: number, slots = 0) => ({
    endpoint: "a",
    ageMs: 0,
    queued,
    running,
    slots,
    queuedTokens: 0,
    prefillTokensPerSecond: 0,
    betweenTokensMs: 0,
    reachable: true,
  });
  assert.is(meter.compute([load(3, 0)]), undefined);
  assert.equal(meter.compute([load(6, 2)]), { slots: 6, queued: 2 });
  assert.equal(meter.compute([load(1, 0)]), { slots: 6, queued: 0 });
  assert.equal(meter.compute([load(1, 0, 8)]), { slots: 8, queued: 0 });
  assert.is(meter.compute([{ ...load(1, 0), reachable: false }]), undefined);
});

test("a node that has seen no request yet does not limit large ones", () => {
  const limits = TeamLimits.create({
    clock: ManualClock.create(),
    random: Random.create(1),
    metrics: Metrics.create(),
    configuration: { current: () => ({ ...emptyConfiguration, teams }) },
    pool: "models",
    unit: "tokens",
  });
  // Costs are tokens here, hundreds for each request.
  limits.update({
    peers: [],
    liveNodes: 9,
    capacity: { slots: 208, queued: 0 },
  });
  for (let request = 0; request < 4; request++) {
    assert.ok(limits.admit(garage, 320).isRight(), `request ${request}`);
  }
});

test.run();
