/**
 * Loads the gateway program from its bundle and V8's code cache.
 *
 * Compiling the bundle takes longer than all other steps of a start. When the
 * cache is missing or was written by another runtime, the bundle is compiled.
 * With `--write-code-cache` the cache is written when the program ends.
 *
 * Signals are kept from the first line on: the default action of most would end
 * the process while it loads. The program is told of them.
 */

"use strict";

const process = require("node:process");

const signals = [
  "SIGTERM",
  "SIGINT",
  "SIGQUIT",
  "SIGHUP",
  "SIGUSR1",
  "SIGUSR2",
  "SIGALRM",
];
const early = [];
const keepSignal = (signal) => early.push(signal);
for (const signal of signals) process.on(signal, keepSignal);

const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const { join } = require("node:path");
const { Script } = require("node:vm");

const program = join(__dirname, "gateway_program.cjs");
const codeCache = join(__dirname, "gateway_program.cache");

const cachedData = existsSync(codeCache) ? readFileSync(codeCache) : undefined;
const source = readFileSync(program, "utf8");
const script = new Script(
  `(function (exports, require, module, __filename, __dirname) {${source}\n})`,
  { filename: program, ...(cachedData === undefined ? {} : { cachedData }) },
);
if (process.argv.includes("--write-code-cache")) {
  process.once("exit", () => {
    writeFileSync(codeCache, script.createCachedData());
  });
}
const runProgram = script.runInThisContext();
runProgram(exports, require, module, program, __dirname);
module.exports.start(early);
for (const signal of signals) process.off(signal, keepSignal);
