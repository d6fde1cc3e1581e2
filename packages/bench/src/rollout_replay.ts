/**
 * Replays the decision on rollouts for many seeds and prints what came of it:
 * `node --import tsx packages/bench/src/rollout_replay.ts [seeds] [nodes]`.
 */

import {
  playRollout,
  type RolloutPlayOptions,
  type VersionFault,
} from "@almondcrank/routing/testing/rollout_simulation.ts";

const faults: readonly VersionFault[] = [
  "none",
  "fails",
  "fails_late",
  "slow",
  "slow_late",
  "fails_under_load",
  "fails_on_one_route",
];
/** Traffic of a small service, and of one with many replicas. */
const services = [
  { requestsPerSecond: 150, replicas: 4 },
  { requestsPerSecond: 350, replicas: 98 },
];
const seeds = Number(process.argv[2] ?? 200);

console.log("nodes s rate fault trouble | ended well, largest use, last ms");
const sizes = process.argv[3] === undefined
  ? [9, 66, 390]
  : [Number(process.argv[3])];
for (const nodes of sizes) {
  for (const durationMs of [12_000, 40_000]) {
    for (const service of services) {
      for (const fault of faults) {
        for (const hasTrouble of [false, true]) {
          printPlays({ nodes, durationMs, ...service, fault, hasTrouble });
        }
      }
    }
  }
}

function printPlays(options: Omit<RolloutPlayOptions, "seed">): void {
  const { nodes, durationMs, requestsPerSecond, fault, hasTrouble } = options;
  const wanted = fault === "none" ? "completed" : "reverted";
  let well = 0;
  let used = 0;
  let lastMs = 0;
  const reasons: string[] = [];
  for (let seed = 1; seed <= seeds; seed += 1) {
    const result = playRollout({ ...options, seed });
    if (result.state === wanted) well += 1;
    else if (result.reason !== undefined) reasons.push(result.reason);
    used = Math.max(used, result.usedBound);
    lastMs = Math.max(lastMs, result.lastAfterMs);
  }
  const name = `${nodes} ${durationMs / 1_000} ${requestsPerSecond} ${fault} ` +
    `${hasTrouble ? "trouble" : "calm"}`;
  console.log(
    `${name} | ${well} of ${seeds}, ${used.toFixed(2)}, ${Math.round(lastMs)}` +
      (reasons.length === 0 ? "" : `; e.g. ${reasons.at(-1)}`),
  );
}
