/**
 * Bundles the programs into `dist/`, one CommonJS file each.
 *
 * `almondcrank.cjs` is the product, `standin.cjs` the stand-ins for tests.
 */

import { build } from "esbuild";
import { existsSync, readFileSync } from "node:fs";
import process from "node:process";

const programs = [
  { entry: "packages/cli/src/main.ts", output: "dist/almondcrank.cjs" },
  { entry: "packages/standin/src/main.ts", output: "dist/standin.cjs" },
];

/** Reads a file as a JavaScript string literal to put into the bundle. */
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
    // jsonc-parser's `main` is a UMD module, whose parts esbuild cannot bundle.
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
