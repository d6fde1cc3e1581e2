/**
 * Bundles the programs and runs scenarios against them.
 *
 * Usage: run_scenario.mjs [--seed N] [--all | FILE...]
 */

import { spawnSync } from "node:child_process";
import process from "node:process";

for (
  const args of [
    ["scripts/bundle.mjs"],
    [
      "--import",
      "tsx",
      "packages/scenario/src/main.ts",
      ...process.argv.slice(2),
    ],
  ]
) {
  const { status } = spawnSync(process.execPath, args, { stdio: "inherit" });
  if (status !== 0) process.exit(status ?? 1);
}
