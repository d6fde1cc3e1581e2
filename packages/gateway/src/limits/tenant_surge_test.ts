/**
 * Replays a tenant that suddenly sends many times its usual at many nodes, whose
 * reports reach each other late.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { Random } from "@almondcrank/common/random.ts";
import type { Tenant } from "@almondcrank/model/configuration.ts";
import { TenantRateLimiter } from "./tenant_rate_limiter.ts";

const windowMs = 8_000;
const overage = 0.1;
const tolerance = 140_000;
const tickMs = 200;
const stepMs = 20;
/** Nodes above which reports pass over relays. */
const maxMeshNodes = 13;

interface Kind {
  readonly share: number;
  readonly cost: number;
  readonly priority: number;
}

/** Large prompts, urgent questions and short checks. */
const usualKinds: readonly Kind[] = [
  { share: 0.25, cost: 6_500, priority: 2 },
  { share: 0.26, cost: 900, priority: 0 },
  { share: 0.49, cost: 1_100, priority: 1 },
];
/** The same where the largest prompts are the most urgent. */
const largeUrgentKinds: readonly Kind[] = [
  { share: 0.2, cost: 12_400, priority: 0 },
  { share: 0.21, cost: 1_100, priority: 1 },
  { share: 0.59, cost: 1_800, priority: 2 },
];

/** A replay; times in milliseconds. */
interface Replay {
  readonly kinds?: readonly Kind[];
  readonly nodes: number;
  readonly rate: number;
  /** Demand at a time, relative to the rate. */
  readonly demand: (at: number) => number;
  readonly durationMs: number;
  /** Shortest and longest delay of a report. */
  readonly delayMs: readonly [number, number];
  readonly seed: number;
  /** Times at which all nodes start anew. */
  readonly restartsAt?: readonly number[];
  /** Time in which no report arrives anywhere. */
  readonly silent?: readonly [number, number];
}

interface Outcome {
  /** Largest cost of a window, relative to what is allowed. */
  readonly worst: number;
  readonly offered: number;
  readonly admitted: number;
  /** Cost that one bucket with every request in view admits. */
  readonly owed: number;
  readonly refusedByKind: readonly number[];
  readonly offeredByKind: readonly number[];
}

function runReplay(replay: Replay): Outcome {
  const { nodes, rate, durationMs, delayMs, kinds = usualKinds } = replay;
  const meanCost = kinds.reduce(
    (sum, { share, cost }) => sum + share * cost,
    0,
  );
  const tenant: Tenant = {
    name: "t",
    keys: [],
    unit: "tokens",
    defaultTokens: 1,
    ratePerSecond: rate,
    burst: rate,
  };
  const random = Random.create(replay.seed);
  const draw = (): number => random.next();
  const names = Array.from({ length: nodes }, (_, at) => `n${at}`);
  const createNode = (name: string, at: number, isFirst: boolean) => {
    const limiter = TenantRateLimiter.create(tolerance, {
      overage,
      windowMs,
      startShare: isFirst ? 1 : 0.1,
    });
    limiter.prepare([tenant], at);
    const known = [...names.filter((other) => other !== name), "summed"];
    const reportsPerRound = nodes > maxMeshNodes ? 3 : 1;
    limiter.setPeers({ known, heard: known, reportsPerRound }, at);
    return {
      limiter,
      /** Sums that this node has reported, by the number of the report. */
      sums: [0],
      startedAt: at,
      counted: 0,
      nextReportAt: at + draw() * tickMs,
      delay: 0,
    };
  };
  let all = names.map((name) => createNode(name, 0, true));
  /** Total cost admitted and reported until each step, all incarnations. */
  const totals: number[] = [];
  let reportedTotal = 0;
  const window: { at: number; cost: number }[] = [];
  let windowCost = 0;
  let worst = 0;
  let offered = 0;
  let admitted = 0;
  let owed = 0;
  let ideal = rate;
  const refusedByKind = kinds.map(() => 0);
  const offeredByKind = kinds.map(() => 0);
  const allowed = (rate * windowMs / 1_000 + rate) * (1 + overage) + tolerance;
  const ownTotals = new Map<string, number[]>();
  for (let at = 0; at < durationMs; at += stepMs) {
    const step = at / stepMs;
    if (replay.restartsAt?.includes(at) === true) {
      all = names.map((name) => createNode(name, at, false));
      ownTotals.clear();
      for (const node of all) node.counted = reportedTotal;
    }
    ideal = Math.min(rate, ideal + rate * stepMs / 1_000);
    let wanted = replay.demand(at) * rate * stepMs / 1_000 / meanCost;
    while (wanted > 0) {
      if (wanted < 1 && draw() > wanted) break;
      wanted -= 1;
      const k = chooseKind(kinds, draw());
      const kind = kinds[k] as Kind;
      const cost = Math.round(kind.cost * (0.5 + draw()));
      const node = all[Math.floor(draw() * nodes)] as typeof all[number];
      offered += cost;
      offeredByKind[k] = (offeredByKind[k] ?? 0) + 1;
      if (ideal >= cost) {
        ideal -= cost;
        owed += cost;
      }
      const verdict = node.limiter.take(
        tenant,
        { cost, priority: kind.priority },
        at,
      );
      if (verdict.kind === "over") {
        refusedByKind[k] = (refusedByKind[k] ?? 0) + 1;
        continue;
      }
      admitted += cost;
      windowCost += cost;
      window.push({ at, cost });
    }
    while (window.length > 0 && (window[0]?.at ?? 0) <= at - windowMs) {
      windowCost -= window.shift()?.cost ?? 0;
    }
    worst = Math.max(worst, windowCost / allowed);
    all.forEach((node, i) => {
      const name = names[i] as string;
      let own = ownTotals.get(name);
      if (own === undefined) ownTotals.set(name, own = []);
      const isDue = at >= node.nextReportAt;
      const before = node.sums.at(-1) ?? 0;
      const sum = isDue ? node.limiter.reportLevels(at)[0]?.[2] ?? 0 : before;
      if (isDue) {
        node.nextReportAt += tickMs;
        node.sums.push(sum);
        reportedTotal += sum - before;
        node.delay = delayMs[0] + draw() * (delayMs[1] - delayMs[0]);
      }
      own[step] = sum;
    });
    totals[step] = reportedTotal;
    const [silentFrom, silentUntil] = replay.silent ?? [Infinity, Infinity];
    if (at >= silentFrom && at < silentUntil) continue;
    all.forEach((node, i) => {
      const seen = Math.floor((at - node.delay) / stepMs);
      if (seen * stepMs < node.startedAt) return;
      const own = ownTotals.get(names[i] as string)?.[seen] ?? 0;
      const heard = (totals[seen] ?? 0) - own;
      if (heard <= node.counted) return;
      const cost = heard - node.counted;
      node.counted = heard;
      node.limiter.applyPeerCharge({ peer: "summed", tenant: "t", cost }, at);
    });
  }
  return {
    worst,
    offered,
    admitted,
    owed,
    refusedByKind,
    offeredByKind,
  };
}

/** Chooses a kind by a random number in [0, 1). */
function chooseKind(kinds: readonly Kind[], draw: number): number {
  let left = draw;
  const found = kinds.findIndex(({ share }) => (left -= share) < 0);
  return found < 0 ? kinds.length - 1 : found;
}

function createSurge(usual: number, times: number) {
  return (at: number): number =>
    at >= 10_000 && at < 18_000 ? usual * times : usual;
}

const surge = {
  nodes: 66,
  rate: 1_347_000,
  demand: createSurge(0.55, 7.5),
  durationMs: 24_000,
  delayMs: [600, 1_500],
  seed: 1,
} as const;

/** A system so small that each node reports to all others. */
const mesh = { nodes: 9, delayMs: [10, 300] } as const;

for (const seed of [1, 2, 3]) {
  test(`a surge at 66 nodes stays within the allowance, seed ${seed}`, () => {
    const { worst, admitted, owed } = runReplay({ ...surge, seed });
    assert.ok(worst <= 1, `${worst} of what is allowed in a window`);
    assert.ok(admitted >= owed * 0.98, `${admitted} of ${owed}`);
  });
}

test("a surge of large urgent requests from near the rate stays within the allowance", () => {
  for (const seed of [1, 2, 3]) {
    const { worst, admitted, owed } = runReplay({
      ...surge,
      seed,
      nodes: 76,
      rate: 637_000,
      kinds: largeUrgentKinds,
      demand: createSurge(0.8, 7.5),
      delayMs: [200, 600],
    });
    assert.ok(worst <= 1, `${worst} of what is allowed in a window`);
    assert.ok(admitted >= owed * 0.98, `${admitted} of ${owed}`);
  }
});

test("a small tenant's surge stays within the allowance", () => {
  for (const rate of [36_000, 120_000, 400_000]) {
    const { worst, admitted, owed } = runReplay({ ...surge, rate });
    assert.ok(worst <= 1, `${worst} of what is allowed, rate ${rate}`);
    assert.ok(admitted >= owed * 0.98, `${admitted} of ${owed}`);
  }
});

test("a surge at nine nodes that report to all stays within the allowance", () => {
  for (const rate of [36_000, 400_000]) {
    const { worst, admitted, owed } = runReplay({
      ...surge,
      ...mesh,
      rate,
    });
    assert.ok(worst <= 1, `${worst} of what is allowed, rate ${rate}`);
    assert.ok(admitted >= owed * 0.98, `${admitted} of ${owed}`);
  }
});

test("ten times the usual at 390 nodes stays within the allowance", () => {
  const { worst, admitted, owed } = runReplay({
    ...surge,
    nodes: 390,
    rate: 8_000_000,
    demand: createSurge(0.55, 10),
    durationMs: 20_000,
  });
  assert.ok(worst <= 1, `${worst} of what is allowed in a window`);
  assert.ok(admitted >= owed * 0.98, `${admitted} of ${owed}`);
});

test("a tenant below its rate is practically never refused", () => {
  const rates = [36_000, 120_000, 400_000, 1_347_000];
  const cases = [...rates, ...rates].map((rate, at) => ({
    ...surge,
    ...(at < rates.length ? mesh : {}),
    rate,
  }));
  for (const { rate, ...rest } of cases) {
    const { refusedByKind, offeredByKind } = runReplay({
      ...rest,
      rate,
      demand: () => 0.6,
      durationMs: 60_000,
    });
    const refused = refusedByKind.reduce((sum, count) => sum + count, 0);
    const sent = offeredByKind.reduce((sum, count) => sum + count, 0);
    assert.ok(
      refused <= sent * 0.005,
      `${refused} of ${sent} refused at a rate of ${rate}`,
    );
  }
});

test("a small tenant within the contract's tolerance is practically never refused", () => {
  const { refusedByKind, offeredByKind } = runReplay({
    ...surge,
    ...mesh,
    rate: 36_000,
    demand: () => 1.1,
    durationMs: 60_000,
  });
  const refused = refusedByKind.reduce((sum, count) => sum + count, 0);
  const sent = offeredByKind.reduce((sum, count) => sum + count, 0);
  assert.ok(refused <= sent * 0.01, `${refused} of ${sent} refused`);
});

test("clumps below the rate are practically never refused", () => {
  for (const rate of [36_000, 120_000, 400_000]) {
    const { refusedByKind, offeredByKind } = runReplay({
      ...surge,
      ...mesh,
      rate,
      demand: (at) => Math.floor(at / 500) % 4 === 0 ? 1.5 : 0.3,
      durationMs: 60_000,
    });
    const refused = refusedByKind.reduce((sum, count) => sum + count, 0);
    const sent = offeredByKind.reduce((sum, count) => sum + count, 0);
    assert.ok(
      refused <= sent * 0.005,
      `${refused} of ${sent} refused at a rate of ${rate}`,
    );
  }
});

test("nodes that all start anew within a surge keep the allowance", () => {
  for (const restartsAt of [[11_000], [13_000], [17_000], [11_000, 14_000]]) {
    for (const rate of [36_000, 120_000, 400_000, surge.rate]) {
      const { worst } = runReplay({ ...surge, rate, restartsAt });
      const what =
        `${worst} of what is allowed, rate ${rate}, at ${restartsAt}`;
      assert.ok(worst <= 1, what);
    }
  }
});

test("reports that stop in a surge don't break the allowance", () => {
  for (const from of [9_000, 10_000, 12_000]) {
    const { worst } = runReplay({ ...surge, silent: [from, from + 2_500] });
    assert.ok(worst <= 1, `${worst} of what is allowed, silent from ${from}`);
  }
});

test("no kind is starved in a surge, and the urgent is not served worst", () => {
  const { refusedByKind, offeredByKind } = runReplay(surge);
  const shares = refusedByKind.map((count, kind) =>
    1 - count / (offeredByKind[kind] ?? 1)
  );
  const [large = 0, urgent = 0, others = 0] = shares;
  assert.ok(urgent >= Math.max(large, others) * 0.95, shares.join(", "));
  assert.ok(large > urgent / 2, shares.join(", "));
});

test.run();
