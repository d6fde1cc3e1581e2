/**
 * Builds `dist/almondcrank`, a single executable, from the bundle and this Node.js.
 */

import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, writeFileSync } from "node:fs";
import process from "node:process";

/** Marks the place in the Node.js binary where the program is inserted. */
const fuse = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
const settings = {
  main: "dist/almondcrank.cjs",
  output: "dist/almondcrank.blob",
  disableExperimentalSEAWarning: true,
};

writeFileSync("dist/sea.json", JSON.stringify(settings));
execFileSync(process.execPath, [
  "--experimental-sea-config",
  "dist/sea.json",
], { stdio: ["ignore", "ignore", "inherit"] });
copyFileSync(process.execPath, "dist/almondcrank");
chmodSync("dist/almondcrank", 0o755);
execFileSync(process.execPath, [
  "node_modules/postject/dist/cli.js",
  "dist/almondcrank",
  "NODE_SEA_BLOB",
  settings.output,
  "--sentinel-fuse",
  fuse,
], { stdio: ["ignore", "ignore", "inherit"] });
process.stdout.write("built dist/almondcrank\n");
