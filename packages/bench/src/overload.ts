/**
 * Measures the share of on-time answers under overload, by priority.
 *
 * Usage: node --import tsx packages/bench/src/overload.ts [SEED] [CAPACITY]
 *
 * CAPACITY is the highest rate of single-turn requests a second that the engines
 * can serve. Runs use 1, 2 and 5 times that rate, in virtual time, with 9 nodes,
 * 8 stand-in engines, and teams of priority 0, 4 and 8 with equal demand.
 */

import process from "node:process";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { computePercentile } from "./percentiles.ts";
import { isOnTime, type MeasuredPolicy, PolicyBench } from "./policy_bench.ts";

const durationMs = 30_000;
const warmUpMs = 10_000;
const priorities = [0, 4, 8] as const;
const policies: readonly MeasuredPolicy[] = ["predicted", "least_load"];

const seed = Number(process.argv[2] ?? 1);
const capacity = Number(process.argv[3] ?? 30);
const hasher = await openHasher();

for (const policy of policies) {
  let atCapacity = 0;
  for (const factor of [1, 2, 5]) {
    const turns = await PolicyBench.run({
      policy,
      seed,
      hasher,
      nodes: 9,
      replicas: 8,
      engine: {},
      conversationsPerSecond: capacity * factor,
      meanTurns: 1,
      meanThinkTimeMs: 1,
      durationMs,
      warmUpMs,
      priorities,
      sendsConversationStart: true,
    });
    const seconds = (durationMs - warmUpMs) / 1_000;
    const accepted = turns.filter((turn) => turn.accepted);
    const onTime = turns.filter(isOnTime);
    if (factor === 1) atCapacity = onTime.length;
    const shares = priorities.map((priority) => {
      const ofPriority = turns.filter((turn) => turn.priority === priority);
      const served = ofPriority.filter(isOnTime).length / ofPriority.length;
      return `p${priority} ${(served * 100).toFixed(0)}%`;
    });
    const firstTokenTimes = accepted.map((turn) => turn.firstTokenMs);
    const sends = accepted.reduce((sum, turn) => sum + turn.attempts, 0);
    process.stdout.write(
      `${policy} at ${factor}x: offered ${
        (turns.length / seconds).toFixed(1)
      }/s, accepted ${(accepted.length / seconds).toFixed(1)}/s, on time ${
        (onTime.length / seconds).toFixed(1)
      }/s (${(onTime.length / atCapacity * 100).toFixed(1)}% of 1x, ${
        (onTime.length / accepted.length * 100).toFixed(1)
      }% of accepted), by priority ${shares.join(" ")}, first token p95 ${
        computePercentile(firstTokenTimes, 95).toFixed(0)
      } ms, sends per accepted ${(sends / accepted.length).toFixed(3)}\n`,
    );
  }
}
