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

/** On-time share of `team` at `requestsPerSecond` while the chain overloads the pool. */
async function measureOnTime(
  team: Team,
  requestsPerSecond: number,
  { floodFactor, change = () => {} }: {
    readonly floodFactor: number;
    readonly change?: (simulation: LimitsSimulation) => void;
  },
): Promise<number> {
  const simulation = LimitsSimulation.create(options);
  change(simulation);
  const untilMs = 12_000;
  void simulation.sendRequests(team, requestsPerSecond, untilMs);
  if (floodFactor > 0) {
    void simulation.sendRequests(
      chain,
      floodFactor * capacityPerSecond,
      untilMs,
    );
  }
  await simulation.clock.advance(warmUpMs);
  simulation.readTotals(team);
  await simulation.clock.advance(untilMs - warmUpMs + 2_000);
  simulation.dispose();
  return computeOnTimeShare(simulation.readTotals(team));
}

for (const team of [garage, press]) {
  test(`a flood leaves ${team.name} of priority ${team.priority} its on-time share`, async () => {
    const alone = await measureOnTime(team, 30, { floodFactor: 0 });
    const flooded = await measureOnTime(team, 30, { floodFactor: 5 });
    assert.ok(alone > 0.98, `alone ${alone}`);
    assert.ok(flooded >= 0.95 * alone, `${flooded} beside ${alone}`);
  });
}

test("without limits the same flood starves a small team", async () => {
  // With unknown capacity nothing is limited.
  const simulation = LimitsSimulation.create({ ...options, nodes: 1 });
  const [node] = simulation.nodes;
  const update = node!.limits.update.bind(node!.limits);
  node!.limits.update = (known) => update({ ...known, capacity: undefined });
  void simulation.sendRequests(garage, 30, 6_000);
  void simulation.sendRequests(chain, 5 * capacityPerSecond, 6_000);
  await simulation.clock.advance(7_000);
  simulation.dispose();
  assert.ok(computeOnTimeShare(simulation.readTotals(garage)) < 0.2);
});

test("silent peers and a partition leave a small team its share", async () => {
  const silent = await measureOnTime(garage, 30, {
    floodFactor: 5,
    change: (simulation) => {
      for (const node of simulation.nodes) node.silent = true;
    },
  });
  assert.ok(silent >= 0.95, `silent ${silent}`);
  const split = await measureOnTime(garage, 30, {
    floodFactor: 5,
    change: (simulation) => {
      for (const node of simulation.nodes.slice(2)) node.group = 1;
    },
  });
  assert.ok(split >= 0.95, `split ${split}`);
});

test("an unused share is lent and taken back within two seconds", async () => {
  const simulation = LimitsSimulation.create(options);
  void simulation.sendRequests(chain, 2 * capacityPerSecond, 14_000);
  await simulation.clock.advance(warmUpMs);
  simulation.readTotals(chain);
  await simulation.clock.advance(4_000);
  const lentPerSecond = simulation.readTotals(chain).onTime / 4;
  assert.ok(
    lentPerSecond >= 0.9 * capacityPerSecond,
    `${lentPerSecond} a second`,
  );
  // The garage starts to use most of its fair fifth of the capacity.
  void simulation.sendRequests(garage, 90, 14_000);
  await simulation.clock.advance(2_000);
  simulation.readTotals(garage);
  await simulation.clock.advance(4_000);
  simulation.dispose();
  const garageShare = computeOnTimeShare(simulation.readTotals(garage));
  assert.ok(garageShare >= 0.95, `${garageShare}`);
});

test("the last live node admits as much as the pool can serve", async () => {
  const simulation = LimitsSimulation.create(options);
  void simulation.sendRequests(chain, 2 * capacityPerSecond, 12_000);
  void simulation.sendRequests(garage, 30, 12_000);
  await simulation.clock.advance(warmUpMs);
  for (const node of simulation.nodes.slice(1)) node.alive = false;
  await simulation.clock.advance(3_000);
  for (const team of teams) simulation.readTotals(team);
  await simulation.clock.advance(4_000);
  const garageShare = computeOnTimeShare(simulation.readTotals(garage));
  const chainPerSecond = simulation.readTotals(chain).onTime / 4;
  simulation.dispose();
  assert.ok(garageShare >= 0.95, `garage ${garageShare}`);
  assert.ok(chainPerSecond >= 0.85 * capacityPerSecond, `${chainPerSecond}`);
});

test("nothing is refused while the pool is not contended", async () => {
  const simulation = LimitsSimulation.create(options);
  void simulation.sendRequests(chain, 0.6 * capacityPerSecond, 8_000);
  void simulation.sendRequests(garage, 0.05 * capacityPerSecond, 8_000);
  await simulation.clock.advance(10_000);
  simulation.dispose();
  assert.is(simulation.readTotals(chain).refused, 0);
  assert.is(simulation.readTotals(garage).refused, 0);
});

test("a team may use a whole idle pool through one node of nine", async () => {
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

test("shares follow guaranteed part, priority, weight and lending", () => {
  const need = (team: Team, demand: number) => ({
    team: team.name,
    priority: team.priority,
    weight: team.share,
    demand,
  });
  const amounts = (...needs: ReturnType<typeof need>[]) =>
    computeShares(60, needs).map(({ amount }) => Math.round(amount));
  // All overloaded: half of the fair 40, 10, 10; the rest to priority 1 by weight.
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

test("the retry delay grows with the excess and a release counts once", async () => {
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
  const permit = limits.admit(chain, 1).unsafeCoerce();
  await clock.advance(100);
  permit.release();
  permit.release();
  const readRetryAfter = async (offers: number) => {
    for (let i = 0; i < offers; i++) limits.admit(chain, 1);
    await clock.advance(1_000);
    update();
    const refusal = limits.check(chain, 1).swap().unsafeCoerce();
    assert.is(refusal.kind, "over_limit");
    assert.is(refusal.run, "not_run");
    return refusal.detail.retryAfterMs ?? 0;
  };
  const few = await readRetryAfter(200);
  const many = await readRetryAfter(2_000);
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
  // Costs are in tokens, hundreds for each request.
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
