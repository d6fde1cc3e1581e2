/**
 * Load pattern: many nodes, each with a few requests a second, all of which would
 * send them to one replica that names a limit. Reports reach other nodes late.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { Random } from "@almondcrank/common/random.ts";
import { LimitShares } from "./limit_shares.ts";
import { RequestLimit } from "./request_limit.ts";

const hasher = await openHasher();
const key = "r1/1";
const stepMs = 20;
const reportMs = 600;
const windowMs = 4_000;
/** Time after the first answer that names the limit from which it binds. */
const contactMs = 3_000;
const answerMs = 80;

interface SimulatedNode {
  readonly name: string;
  readonly limit: RequestLimit;
  readonly shares: LimitShares;
  isRunning: boolean;
}

interface SimulationOptions {
  readonly nodes: number;
  readonly perSecond: number;
  /** Requests a second of each node. */
  readonly demand: number;
  readonly durationMs: number;
  /** Changes the nodes at a time; the others see it `reportMs` later. */
  readonly onStep?: (nodes: SimulatedNode[], now: number) => void;
}

function createNode(index: number): SimulatedNode {
  const name = `node-${index}`;
  const limit = RequestLimit.create();
  return {
    name,
    limit,
    shares: LimitShares.create(name, hasher),
    isRunning: true,
  };
}

/** Runs nodes against one replica and returns the times of its arrivals. */
function runNodes(options: SimulationOptions): number[] {
  const { nodes: count, perSecond, demand, durationMs } = options;
  const nodes = Array.from({ length: count }, (_, at) => createNode(at));
  const random = Random.create(7);
  const arrivals: number[] = [];
  let answers: { readonly node: SimulatedNode; readonly at: number }[] = [];
  let seen: readonly string[] = nodes.map(({ name }) => name);
  for (let now = 0; now < durationMs; now += stepMs) {
    options.onStep?.(nodes, now);
    for (const { node } of answers.filter(({ at }) => at <= now)) {
      node.limit.recordAnswer(perSecond, { sentAt: now - answerMs, now });
    }
    answers = answers.filter(({ at }) => at > now);
    if (now % reportMs === 0) exchangeReports(nodes, seen, now);
    if (now % reportMs === 0) seen = listRunning(nodes);
    for (const node of nodes) {
      const isWanted = random.next() < demand * stepMs / 1_000;
      if (!isWanted || !node.isRunning || !node.limit.isOpen(now)) continue;
      node.limit.charge(now);
      arrivals.push(now);
      answers.push({ node, at: now + answerMs });
    }
  }
  return arrivals;
}

function listRunning(nodes: readonly SimulatedNode[]): readonly string[] {
  return nodes.filter(({ isRunning }) => isRunning).map(({ name }) => name);
}

/** Tells all nodes what the others know, and which of them share the limits. */
function exchangeReports(
  nodes: readonly SimulatedNode[],
  names: readonly string[],
  now: number,
): void {
  const [latest] = nodes.map(({ limit }) => limit)
    .filter(({ perSecond }) => perSecond !== undefined)
    .sort((a, b) => b.statedAt - a.statedAt);
  for (const { limit, shares } of nodes) {
    if (latest !== undefined) limit.learn(latest, now);
    shares.setNodes(names);
    shares.apply(key, limit, now);
  }
}

/** Counts the arrivals of the busiest window after the limit binds. */
function countBusiestWindow(arrivals: readonly number[]): number {
  const late = arrivals.filter((at) => at >= contactMs + answerMs);
  return Math.max(
    0,
    ...late.map((start) =>
      late.filter((at) => at >= start && at < start + windowMs).length
    ),
  );
}

function computeAllowed(perSecond: number): number {
  return 1.5 * perSecond * windowMs / 1_000 + 5;
}

for (const nodes of [1, 9, 76, 390]) {
  for (const perSecond of [0.3, 1, 1.1, 4, 30]) {
    test(`${nodes} nodes with far more requests keep to ${perSecond} a second and use it`, () => {
      const durationMs = 20_000;
      const demand = 3 * Math.max(1, perSecond / nodes);
      const arrivals = runNodes({ nodes, perSecond, demand, durationMs });
      const busiest = countBusiestWindow(arrivals);
      const allowed = computeAllowed(perSecond);
      assert.ok(busiest <= allowed, `${busiest}, allowed ${allowed}`);
      const used = arrivals.filter((at) => at >= contactMs).length;
      const usable = perSecond * (durationMs - contactMs) / 1_000;
      assert.ok(used >= Math.floor(usable * 0.5), `${used} of ${usable}`);
    });
  }
}

test("nodes that come and go keep to the limit", () => {
  const perSecond = 1;
  const arrivals = runNodes({
    nodes: 9,
    perSecond,
    demand: 3,
    durationMs: 40_000,
    onStep: (nodes, now) => {
      const turn = Math.floor(now / 2_500);
      nodes.forEach((node, at) => node.isRunning = (turn + at) % 3 !== 0);
    },
  });
  const busiest = countBusiestWindow(arrivals);
  assert.ok(busiest <= computeAllowed(perSecond), `${busiest}`);
});

test("a share that its node does not use passes to the next node", () => {
  const nodes = Array.from({ length: 5 }, (_, at) => createNode(at));
  const names = nodes.map(({ name }) => name);
  const holders = new Set<string>();
  for (const { limit } of nodes) limit.recordAnswer(0.6, { sentAt: 0, now: 0 });
  for (let now = 0; now <= 60_000; now += reportMs) {
    for (const { limit, shares } of nodes) {
      shares.setNodes(names);
      shares.apply(key, limit, now);
    }
    const sharing = nodes.filter(({ limit }) => limit.share > 0);
    assert.is(sharing.length, 1);
    for (const { name } of sharing) holders.add(name);
  }
  assert.is(holders.size, names.length);
});

test("a limit of nothing lets a request through now and then", () => {
  const arrivals = runNodes({
    nodes: 3,
    perSecond: 0,
    demand: 5,
    durationMs: 40_000,
  });
  const late = arrivals.filter((at) => at >= contactMs);
  assert.ok(late.length >= 3 && late.length <= 10, `${late.length}`);
});

test.run();
