/**
 * Bundles the gateway program into `target/`, where the deploy file expects it.
 *
 * After a crash a node serves again only once its program is loaded. To load it
 * fast, the bundle omits library code that the program does not use, and V8's
 * code cache is stored beside it.
 */

import { spawnSync } from "node:child_process";
import { copyFileSync, rmSync } from "node:fs";
import process from "node:process";
import { build } from "esbuild";

const program = "target/gateway_program.cjs";
const codeCache = "target/gateway_program.cache";
const launcher = "target/gateway.cjs";

/** Library modules that the program does not need, by the end of their path. */
const unusedModules = [
  /zod\/v4\/locales\/index\.js$/,
  // The platform uses HTTP/1.1 only.
  /undici\/lib\/dispatcher\/client-h2\.js$/,
];
/** Entry modules that import only the used part of a library. */
const narrowEntries = {
  "undici": `
    import api from "undici/lib/api/index.js";
    import Dispatcher from "undici/lib/dispatcher/dispatcher.js";
    Object.assign(Dispatcher.prototype, api);
    export { default as Pool } from "undici/lib/dispatcher/pool.js";
  `,
  "hdr-histogram-js":
    `export { build } from "hdr-histogram-js/dist/HistogramBuilder.js";`,
};

/** esbuild plugin that empties unused modules and replaces library entries. */
const narrowLibraries = {
  name: "narrow-libraries",
  setup(bundle) {
    bundle.onLoad(
      { filter: /\.js$/ },
      ({ path }) =>
        unusedModules.some((pattern) => pattern.test(path))
          ? { contents: "" }
          : undefined,
    );
    bundle.onResolve({ filter: /^(undici|hdr-histogram-js)$/ }, ({ path }) => ({
      path,
      namespace: "narrow",
    }));
    bundle.onLoad({ filter: /.*/, namespace: "narrow" }, ({ path }) => ({
      contents: narrowEntries[path],
      resolveDir: process.cwd(),
    }));
  },
};

await build({
  entryPoints: ["packages/gateway/src/main.ts"],
  outfile: program,
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  mainFields: ["module", "main"],
  minifySyntax: true,
  minifyWhitespace: true,
  logLevel: "warning",
  plugins: [narrowLibraries],
});

copyFileSync("scripts/gateway_launcher.cjs", launcher);
rmSync(codeCache, { force: true });
// Writes the code cache: without settings the program ends once it is loaded.
spawnSync(process.execPath, [
  "--max-old-space-size=160",
  "--max-semi-space-size=4",
  launcher,
  "--write-code-cache",
], { stdio: "ignore", env: {} });
