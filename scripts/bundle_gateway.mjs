/**
 * Bundles the gateway program into `target/`, as the deploy file asks.
 */

import { build } from "esbuild";

await build({
  entryPoints: ["packages/gateway/src/main.ts"],
  outfile: "target/gateway.cjs",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  mainFields: ["module", "main"],
  minifySyntax: true,
  logLevel: "warning",
});
