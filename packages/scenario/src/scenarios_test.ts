/**
 * Runs every scenario with seed 1 and compares its transcript with the golden
 * file. Each scenario starts processes of its own, so only three run at once.
 */

import { readdirSync, readFileSync } from "node:fs";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { parseScenario } from "./parse_scenario.ts";
import { runScenario, type ScenarioResult } from "./scenario_runner.ts";

const seed = 1;
const limit = 3;
const folder = "scenarios";

const files = readdirSync(folder)
  .filter((name) => name.endsWith(".scenario")).sort();
const results = new Map<string, Promise<ScenarioResult>>();
const waiters: (() => void)[] = [];
let running = 0;

/** Runs a scenario as soon as fewer than `limit` others are running. */
async function runLimited(name: string): Promise<ScenarioResult> {
  if (running >= limit) await new Promise<void>((wake) => waiters.push(wake));
  running++;
  try {
    const text = readFileSync(`${folder}/${name}`, "utf8");
    const scenario = parseScenario(name, text).unsafeCoerce();
    return await runScenario(scenario, { seed, hasher: await openHasher() });
  } finally {
    running--;
    waiters.shift()?.();
  }
}

test.before(() => {
  for (const name of files) results.set(name, runLimited(name));
});

for (const name of files) {
  test(name, async () => {
    const result = await results.get(name);
    const report = `${result?.findings.join("\n")}\n${result?.logs}`;
    assert.equal(result?.findings, [], report);
    const golden = readFileSync(`${folder}/golden/${name}.txt`, "utf8");
    assert.is(`${result?.transcript.join("\n")}\n`, golden);
  });
}

test.run();
