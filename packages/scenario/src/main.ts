/**
 * Runs scenarios: `main.ts [--seed N] [--all | FILE...]`.
 */

import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { basename, join } from "node:path";
import process from "node:process";
import { parseArgs } from "node:util";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { parseScenario } from "./parse_scenario.ts";
import { runScenario } from "./scenario_runner.ts";

const folder = "scenarios";

const { values, positionals } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    all: { type: "boolean", default: false },
    /** Writes the transcripts as golden files. */
    golden: { type: "boolean", default: false },
  },
  allowPositionals: true,
});
const files = values.all
  ? readdirSync(folder).filter((name) => name.endsWith(".scenario")).sort()
    .map((name) => join(folder, name))
  : positionals;
const hasher = await openHasher();
let failed = 0;
for (const file of files) {
  const scenario = parseScenario(file, readFileSync(file, "utf8"));
  if (scenario.isLeft()) {
    process.stderr.write(`${String(scenario.extract())}\n`);
    failed++;
    continue;
  }
  const seed = Number(values.seed);
  const result = await runScenario(scenario.unsafeCoerce(), { seed, hasher });
  if (values.golden && result.findings.length === 0) {
    const path = join(folder, "golden", `${basename(file)}.txt`);
    writeFileSync(path, `${result.transcript.join("\n")}\n`);
  }
  const verdict = result.findings.length === 0 ? "ok" : "FAILED";
  process.stdout.write(
    `${verdict} ${file} seed ${seed}: ${result.scenario.title}\n`,
  );
  if (result.findings.length > 0) {
    failed++;
    process.stdout.write(`${result.findings.join("\n")}\n${result.logs}\n`);
  }
}
process.stdout.write(`${files.length - failed} passed, ${failed} failed\n`);
process.exitCode = failed > 0 || files.length === 0 ? 1 : 0;
