/**
 * Bundles the gateway program into `target/`, as the deploy file asks.
 *
 * A node that was killed serves again only when its program is loaded, so the
 * bundle leaves out what the program does not use, and its compiled form is
 * kept beside it.
 */

import { spawnSync } from "node:child_process";
import { copyFileSync, rmSync } from "node:fs";
import process from "node:process";
import { build } from "esbuild";

const program = "target/gateway_program.cjs";
const codeCache = "target/gateway_program.cache";
const launcher = "target/gateway.cjs";

/** Parts of libraries that the program does not need, by the path's end. */
const unused = [
  /zod\/v4\/locales\/index\.js$/,
  // The platform speaks HTTP/1.1.
  /undici\/lib\/dispatcher\/client-h2\.js$/,
];
/** Modules that load only the part of a library that is used. */
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

/** Replaces what is unused or too wide. */
const narrowLibraries = {
  name: "narrow-libraries",
  setup(bundle) {
    bundle.onLoad(
      { filter: /\.js$/ },
      ({ path }) =>
        unused.some((pattern) => pattern.test(path))
          ? { contents: "module.exports = {};" }
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
// Without settings the program ends as soon as it is loaded.
spawnSync(process.execPath, [
  "--max-old-space-size=160",
  "--max-semi-space-size=4",
  launcher,
  "--write-code-cache",
], { stdio: "ignore", env: {} });
