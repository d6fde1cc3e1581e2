/**
 * Script and style of uPlot, for pages that work without a network.
 *
 * The bundle contains them; a run from source reads the installed package.
 */

import { readFileSync } from "node:fs";
import { createRequire } from "node:module";
import { pathToFileURL } from "node:url";
import process from "node:process";

declare const builtInPlotScript: string | undefined;
declare const builtInPlotStyle: string | undefined;

/** Script and style sheet to put into a page. */
export interface PlotLibrary {
  readonly script: string;
  readonly style: string;
}

/** Reads the script and style; throws when the package is not installed. */
export function readPlotLibrary(): PlotLibrary {
  if (
    typeof builtInPlotScript === "string" &&
    typeof builtInPlotStyle === "string"
  ) {
    return { script: builtInPlotScript, style: builtInPlotStyle };
  }
  const require = createRequire(pathToFileURL(`${process.cwd()}/`));
  const read = (file: string): string =>
    readFileSync(require.resolve(`uplot/dist/${file}`), "utf8");
  return {
    script: read("uPlot.iife.min.js"),
    style: read("uPlot.min.css"),
  };
}
