/**
 * Measures recomputed tokens and the on-time share by choice policy.
 *
 * Usage: node --import tsx packages/bench/src/recompute.ts [SEEDS] [RATE] [untold]
 *
 * SEEDS is a comma-separated list, RATE the number of new conversations a second;
 * with "untold" requests do not say where their conversation's start ends. Runs in
 * virtual time with 9 nodes, 8 stand-in engines and delayed load reports.
 */

import process from "node:process";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { computePercentile } from "./percentiles.ts";
import {
  isOnTime,
  type MeasuredPolicy,
  PolicyBench,
  type TurnRecord,
} from "./policy_bench.ts";

const policies: readonly MeasuredPolicy[] = [
  "random",
  "round_robin",
  "least_load",
  "predicted",
  "oracle",
];

const seeds = (process.argv[2] ?? "1,2,3").split(",").map(Number);
const conversationsPerSecond = Number(process.argv[3] ?? 3);
const hasher = await openHasher();

function sum(
  turns: readonly TurnRecord[],
  read: (turn: TurnRecord) => number,
): number {
  return turns.reduce((total, turn) => total + read(turn), 0);
}

function formatRow(
  policy: MeasuredPolicy,
  turns: readonly TurnRecord[],
): string {
  const accepted = turns.filter((turn) => turn.accepted);
  const perRequest = sum(accepted, (turn) => turn.recomputedTokens) /
    accepted.length;
  const computed = sum(accepted, (turn) => turn.computedTokens) /
    accepted.length;
  const onTime = turns.filter(isOnTime).length / turns.length;
  const firstTokenTimes = accepted.map((turn) => turn.firstTokenMs);
  const gaps = accepted.map((turn) => turn.betweenTokensMs);
  return [
    policy.padEnd(12),
    `turns ${turns.length}`,
    `refused ${turns.length - accepted.length}`,
    `recomputed/request ${perRequest.toFixed(1)}`,
    `computed/request ${computed.toFixed(1)}`,
    `on time ${(onTime * 100).toFixed(2)}%`,
    `first token p50 ${computePercentile(firstTokenTimes, 50).toFixed(0)} ms`,
    `p95 ${computePercentile(firstTokenTimes, 95).toFixed(0)} ms`,
    `between p95 ${computePercentile(gaps, 95).toFixed(1)} ms`,
  ].join(", ");
}

for (const seed of seeds) {
  process.stdout.write(`seed ${seed}, ${conversationsPerSecond} a second\n`);
  const recomputed = new Map<MeasuredPolicy, number>();
  for (const policy of policies) {
    const turns = await PolicyBench.run({
      policy,
      seed,
      hasher,
      nodes: 9,
      replicas: 8,
      engine: {},
      conversationsPerSecond,
      meanTurns: 5,
      meanThinkTimeMs: 6_000,
      durationMs: 90_000,
      warmUpMs: 30_000,
      priorities: [0],
      sendsConversationStart: process.argv[4] !== "untold",
    });
    const accepted = turns.filter((turn) => turn.accepted);
    recomputed.set(
      policy,
      sum(accepted, (turn) => turn.recomputedTokens) / accepted.length,
    );
    process.stdout.write(formatRow(policy, turns) + "\n");
  }
  const predicted = recomputed.get("predicted") ?? 0;
  const toRoundRobin = predicted / (recomputed.get("round_robin") ?? 1);
  const toOracle = predicted / (recomputed.get("oracle") ?? 1);
  process.stdout.write(
    `predicted to round_robin ${toRoundRobin.toFixed(3)}, ` +
      `to oracle ${toOracle.toFixed(3)}\n`,
  );
}
