/**
 * Compares placement policies on simulated nodes and replicas, in one run.
 *
 * Usage: node --import tsx packages/bench/src/placement_bench.ts [SEED]
 */

import process from "node:process";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { computePercentile } from "./percentiles.ts";
import { placementPolicies } from "./placement_policies.ts";
import { PlacementSimulation } from "./placement_simulation.ts";

const seed = Number(process.argv[2] ?? 1);
const hasher = await openHasher();
const lateMs = 500;

for (const isUneven of [true, false]) {
  for (const nodes of (process.env.N ?? "9,73,390").split(",").map(Number)) {
    for (
      const reportAgeMs of (process.env.A ?? "100,1000,4000").split(",").map(
        Number,
      )
    ) {
      const load = isUneven ? "uneven" : "even";
      console.log(`${load}, ${nodes} nodes, reports ${reportAgeMs} ms old`);
      for (
        const policy
          of (process.env.P?.split(",") as typeof placementPolicies ??
            placementPolicies)
      ) {
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
        const times = records.map(({ firstMs }) => firstMs);
        const mean = times.reduce((sum, ms) => sum + ms, 0) / times.length;
        const late = times.filter((ms) => ms > lateMs).length / times.length;
        const reread = records.reduce((sum, r) => sum + r.rereadTokens, 0) /
          records.length;
        console.log([
          `  ${policy.padEnd(13)}mean ${mean.toFixed(0).padStart(6)} ms`,
          `p99 ${computePercentile(times, 99).toFixed(0).padStart(6)} ms`,
          `late ${(late * 100).toFixed(1).padStart(5)} %`,
          `shared tokens read ${reread.toFixed(0).padStart(5)}`,
        ].join("  "));
      }
    }
  }
}
