/**
 * Replays orders for versions that are good, or bad in one of several ways, on a
 * driven clock at several numbers of nodes.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  playRollout,
  type RolloutPlayOptions,
  type VersionFault,
} from "../testing/rollout_simulation.ts";

const seeds = 4;
const service = { requestsPerSecond: 350, replicas: 98 };
const rollbackMs = 5_000;

function playAll(options: Omit<RolloutPlayOptions, "seed">) {
  return Array.from(
    { length: seeds },
    (_, at) => playRollout({ ...options, seed: at + 1 }),
  );
}

for (const nodes of [9, 66, 390]) {
  for (const durationMs of [12_000, 40_000]) {
    const base = { nodes, durationMs, ...service };
    const title = `${nodes} nodes, ${durationMs / 1_000} s`;

    test(`good versions are completed: ${title}`, () => {
      for (const hasTrouble of [false, true]) {
        const results = playAll({ ...base, fault: "none", hasTrouble });
        for (const { state, usedBound, reason } of results) {
          assert.is(state, "completed", reason);
          assert.ok(usedBound < 1, `${usedBound}`);
        }
      }
    });

    const faults: readonly VersionFault[] = [
      "fails",
      "slow",
      "fails_under_load",
      "fails_on_one_route",
    ];
    for (const fault of faults) {
      test(`versions are taken back that are bad, ${fault}: ${title}`, () => {
        const results = playAll({ ...base, fault, hasTrouble: false });
        for (const { state, usedBound, lastAfterMs } of results) {
          assert.is(state, "reverted");
          assert.ok(usedBound < 1, `${usedBound}`);
          assert.ok(lastAfterMs < rollbackMs, `${lastAfterMs}`);
        }
      });
    }

    test(`versions that turn bad late stay inside the bound: ${title}`, () => {
      for (const fault of ["fails_late", "slow_late"] as const) {
        const results = playAll({ ...base, fault, hasTrouble: false });
        for (const { usedBound } of results) {
          assert.ok(usedBound < 1, `${usedBound}`);
        }
      }
    });
  }
}

test.run();
