/**
 * Compares placement policies on simulated nodes and replicas, in one run.
 *
 * Usage: node --import tsx packages/bench/src/placement_bench.ts [SEED]
 */

import process from "node:process";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { computePercentile } from "./percentiles.ts";
import {
  placementPolicies,
  type PlacementPolicy,
} from "./placement_policies.ts";
import {
  type PlacementRecord,
  PlacementSimulation,
} from "./placement_simulation.ts";

const nodeCounts = [9, 73, 390];
const reportAgesMs = [100, 1_000, 4_000];
const lateMs = 500;
const seed = Number(process.argv[2] ?? 1);
const hasher = await openHasher();

for (const isUneven of [true, false]) {
  for (const nodes of nodeCounts) {
    for (const reportAgeMs of reportAgesMs) {
      const load = isUneven ? "uneven" : "even";
      console.log(`${load}, ${nodes} nodes, reports ${reportAgeMs} ms old`);
      for (const policy of placementPolicies) {
        const records = PlacementSimulation.run({
          policy,
          seed,
          hasher,
          nodes,
          replicas: 40,
          reportAgeMs,
          requestsPerSecond: 300,
          durationMs: 20_000,
          isUneven,
        });
        console.log(formatRow(policy, records));
      }
    }
  }
}

function formatRow(
  policy: PlacementPolicy,
  records: readonly PlacementRecord[],
): string {
  const times = records.map(({ firstMs }) => firstMs);
  const late = times.filter((ms) => ms > lateMs).length / times.length;
  const reread = records.map(({ rereadTokens }) => rereadTokens);
  return [
    `  ${policy.padEnd(13)}mean ${formatNumber(computeMean(times))} ms`,
    `p99 ${formatNumber(computePercentile(times, 99))} ms`,
    `late ${(late * 100).toFixed(1).padStart(5)} %`,
    `shared tokens read ${formatNumber(computeMean(reread))}`,
  ].join("  ");
}

function formatNumber(value: number): string {
  return value.toFixed(0).padStart(6);
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
