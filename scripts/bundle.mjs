/**
 * Bundles the programs into `dist/`, one CommonJS file each.
 *
 * `almondcrank.cjs` is the product, `standin.cjs` the test side's stand-ins.
 */

import { build } from "esbuild";
import { existsSync, readFileSync } from "node:fs";
import process from "node:process";

const programs = [
  { entry: "packages/cli/src/main.ts", output: "dist/almondcrank.cjs" },
  { entry: "packages/standin/src/main.ts", output: "dist/standin.cjs" },
];

/** Text of a file as a literal of the bundle. */
function readLiteral(path) {
  return JSON.stringify(readFileSync(path, "utf8"));
}

for (const { entry, output } of programs) {
  if (!existsSync(entry)) {
    process.stderr.write(`bundle: ${entry} is missing, skipped.\n`);
    continue;
  }
  await build({
    entryPoints: [entry],
    outfile: output,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    // jsonc-parser's `main` loads its parts in a way that cannot be bundled.
    mainFields: ["module", "main"],
    sourcemap: "inline",
    sourcesContent: false,
    define: {
      builtInExampleMix: readLiteral("examples/pruefplan/requests.jsonc"),
      builtInPlotScript: readLiteral(
        "node_modules/uplot/dist/uPlot.iife.min.js",
      ),
      builtInPlotStyle: readLiteral("node_modules/uplot/dist/uPlot.min.css"),
    },
    logLevel: "warning",
  });
}
