/**
 * Measures the limits of teams over nine nodes, with the product's code on a manual
 * clock.
 *
 * Usage: node --import tsx packages/bench/src/team_limits.ts [SEED...]
 */

import process from "node:process";
import type { Team } from "@almondcrank/common/configuration.ts";
import {
  computeOnTimeShare,
  LimitsSimulation,
} from "@almondcrank/routing/testing/limits_simulation.ts";

const nodes = 9;
const slots = 64;
const meanServiceMs = 50;
const dueMs = 400;
const capacityPerSecond = slots * 1_000 / meanServiceMs;
const warmUpMs = 5_000;
const endMs = 20_000;
const defaultSeeds = [1, 2, 3];

/** Load that a team offers, as a fraction of the capacity. */
interface Offer {
  readonly team: Team;
  readonly fraction: number;
}

function createTeam(name: string, priority: number, share: number): Team {
  return { name, keyHash: "", priority, share };
}

const chain = createTeam("chain", 1, 8);
const south = createTeam("south", 1, 4);
const drivers = createTeam("drivers", 2, 2);
const inbox = createTeam("inbox", 3, 1);
const garage = createTeam("garage", 1, 1);
const teams = [chain, south, drivers, inbox, garage];

const backgroundOffers: readonly Offer[] = [
  { team: south, fraction: 0.2 },
  { team: drivers, fraction: 0.05 },
  { team: inbox, fraction: 0.02 },
  { team: garage, fraction: 0.03 },
];

/** A measured situation; the team `chain` offers `chainFraction`. */
interface Case {
  readonly name: string;
  readonly chainFraction: number;
  /** Changes the nodes at the start of the run. */
  readonly change?: (simulation: LimitsSimulation) => void;
  /** Changes the nodes at the end of the warm-up. */
  readonly fail?: (simulation: LimitsSimulation) => void;
}

const cases: readonly Case[] = [
  { name: "no flood", chainFraction: 0.3 },
  { name: "chain floods 5 times", chainFraction: 5 },
  {
    name: "flood, all peers silent",
    chainFraction: 5,
    change: (simulation) =>
      simulation.nodes.forEach((node) => node.silent = true),
  },
  {
    name: "flood, views split 4 and 5",
    chainFraction: 5,
    fail: (simulation) =>
      simulation.nodes.slice(4).forEach((node) => node.group = 1),
  },
  {
    name: "flood, one node left of nine",
    chainFraction: 5,
    fail: (simulation) =>
      simulation.nodes.slice(1).forEach((node) => node.alive = false),
  },
];

/** Runs a case; returns its on-time shares as text. */
async function runCase(measured: Case, seed: number): Promise<string> {
  const simulation = LimitsSimulation.create({
    nodes,
    slots,
    meanServiceMs,
    dueMs,
    teams,
    seed,
  });
  measured.change?.(simulation);
  const offers = [
    { team: chain, fraction: measured.chainFraction },
    ...backgroundOffers,
  ];
  for (const { team, fraction } of offers) {
    void simulation.sendRequests(team, fraction * capacityPerSecond, endMs);
  }
  await simulation.clock.advance(warmUpMs);
  measured.fail?.(simulation);
  await simulation.clock.advance(2_000);
  for (const { team } of offers) simulation.readTotals(team);
  await simulation.clock.advance(endMs - simulation.clock.now());
  const seconds = (endMs - warmUpMs - 2_000) / 1_000;
  let onTime = 0;
  const shares = offers.map(({ team }) => {
    const totals = simulation.readTotals(team);
    onTime += totals.onTime;
    return `${team.name} ${computeOnTimeShare(totals).toFixed(3)}`;
  });
  simulation.dispose();
  const used = onTime / seconds / capacityPerSecond;
  return `on time ${shares.join(", ")}; ${
    (100 * used).toFixed(0)
  } % of the pool answered on time`;
}

/** Measures a team's refusals when it returns while another uses its share. */
async function runReturn(seed: number): Promise<string> {
  const options = { nodes, slots, meanServiceMs, dueMs, teams, seed };
  const simulation = LimitsSimulation.create(options);
  void simulation.sendRequests(chain, 3 * capacityPerSecond, endMs);
  await simulation.clock.advance(8_000);
  const borrowed = simulation.readTotals(chain).onTime / 8 / capacityPerSecond;
  void simulation.sendRequests(south, 0.2 * capacityPerSecond, endMs);
  const shares: string[] = [];
  for (let second = 0; second < 5; second++) {
    await simulation.clock.advance(1_000);
    const { offered, refused } = simulation.readTotals(south);
    shares.push((refused / offered).toFixed(3));
  }
  simulation.dispose();
  return `chain alone used ${
    (100 * borrowed).toFixed(0)
  } % of the pool; south back, refused part by second: ${shares.join(" ")}`;
}

const given = process.argv.slice(2).map(Number);
const seeds = given.length > 0 ? given : defaultSeeds;
for (const measured of cases) {
  for (const seed of seeds) {
    const figures = await runCase(measured, seed);
    console.log(`${measured.name}, seed ${seed}: ${figures}`);
  }
}
for (const seed of seeds) {
  console.log(`lent share, seed ${seed}: ${await runReturn(seed)}`);
}
