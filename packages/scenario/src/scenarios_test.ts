import { readdirSync, readFileSync } from "node:fs";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { parseScenario } from "./parse_scenario.ts";
import { runScenario, type ScenarioResult } from "./scenario_runner.ts";

const seed = 1;
const atOnce = 3;
const folder = "scenarios";

const files = readdirSync(folder)
  .filter((name) => name.endsWith(".scenario")).sort();
const results = new Map<string, Promise<ScenarioResult>>();
const waiting: (() => void)[] = [];
let running = 0;

/** Runs a few scenarios at a time, each in processes of its own. */
async function runLimited(name: string): Promise<ScenarioResult> {
  if (running >= atOnce) await new Promise<void>((wake) => waiting.push(wake));
  running++;
  try {
    const text = readFileSync(`${folder}/${name}`, "utf8");
    const scenario = parseScenario(name, text).unsafeCoerce();
    return await runScenario(scenario, { seed, hasher: await openHasher() });
  } finally {
    running--;
    waiting.shift()?.();
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
