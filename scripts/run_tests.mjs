/**
 * Runs the uvu tests of all packages and prints their totals.
 *
 * Each test file runs in its own process, a few at a time, so that a hang or crash
 * is reported for its file. Tests named in KNOWN-RED.txt may fail: they are
 * printed and not counted as failures.
 *
 * Usage: run_tests.mjs [FILTER], where FILTER is part of a file's path.
 */

import { spawn } from "node:child_process";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";

const filesAtOnce = 4;
const fileTimeoutMs = 300_000;

/** Lists the test files in a folder and its subfolders. */
function listTests(folder) {
  const found = [];
  for (const entry of readdirSync(folder, { withFileTypes: true })) {
    if (entry.name === "node_modules") continue;
    const path = join(folder, entry.name);
    if (entry.isDirectory()) found.push(...listTests(path));
    else if (entry.name.endsWith("_test.ts")) found.push(path);
  }
  return found.sort();
}

/** Reads the names of tests that are known to fail. */
function readKnownFailures() {
  if (!existsSync("KNOWN-RED.txt")) return [];
  return readFileSync("KNOWN-RED.txt", "utf8").split("\n")
    .filter((line) => line.startsWith("test: "))
    .map((line) => line.slice("test: ".length).trim());
}

/** Runs one test file; resolves with its output and exit code. */
function runFile(path) {
  return new Promise((resolve) => {
    const child = spawn(process.execPath, ["--import", "tsx", path], {
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, FORCE_COLOR: "0", NO_COLOR: "1" },
    });
    let output = "";
    let timedOut = false;
    child.stdout.on("data", (data) => output += data);
    child.stderr.on("data", (data) => output += data);
    const timer = setTimeout(() => {
      timedOut = true;
      child.kill("SIGKILL");
    }, fileTimeoutMs);
    child.on("close", (code) => {
      clearTimeout(timer);
      resolve({ path, output, code, timedOut });
    });
  });
}

/** Reads the totals and failed tests from a file's output. */
function parseResult({ path, output, code, timedOut }) {
  const total = Number(/^\s*Total:\s+(\d+)/m.exec(output)?.[1] ?? 0);
  const passed = Number(/^\s*Passed:\s+(\d+)/m.exec(output)?.[1] ?? 0);
  const skipped = Number(/^\s*Skipped:\s+(\d+)/m.exec(output)?.[1] ?? 0);
  const failed = [...output.matchAll(/^\s*FAIL\s+(?:\S+\s+)?"(.*)"\s*$/gm)]
    .map((match) => `${path} > ${match[1]}`);
  if (timedOut) failed.push(`${path} > (timed out)`);
  else if (total === 0 || (code !== 0 && failed.length === 0)) {
    failed.push(`${path} > (did not finish)`);
  } else if (passed + skipped + failed.length < total) {
    // uvu ends with code 0 when a hook throws before the first test.
    failed.push(`${path} > (did not finish)`);
  }
  return { passed, failed };
}

const filter = process.argv[2] ?? "";
const queue = listTests("packages").filter((path) => path.includes(filter));
const knownFailures = readKnownFailures();
let passed = 0;
const failed = [];
const failedAsKnown = [];

/** Runs files until the queue is empty. */
async function runQueue() {
  for (let path = queue.shift(); path !== undefined; path = queue.shift()) {
    const started = performance.now();
    const result = await runFile(path);
    const counts = parseResult(result);
    passed += counts.passed;
    const unexpected = counts.failed.filter((name) =>
      !knownFailures.includes(name)
    );
    failedAsKnown.push(
      ...counts.failed.filter((name) => knownFailures.includes(name)),
    );
    failed.push(...unexpected);
    const seconds = ((performance.now() - started) / 1000).toFixed(1);
    const verdict = unexpected.length === 0 ? "ok" : "FAILED";
    process.stdout.write(
      `${verdict} ${path} ${counts.passed} passed, ${seconds} s\n`,
    );
    if (counts.failed.length > 0) process.stdout.write(result.output + "\n");
  }
}

await Promise.all(Array.from({ length: filesAtOnce }, runQueue));
for (const name of failed) process.stdout.write(`failed: ${name}\n`);
for (const name of failedAsKnown) process.stdout.write(`known red: ${name}\n`);
process.stdout.write(`${passed} passed, ${failed.length} failed\n`);
process.exitCode = failed.length > 0 || passed === 0 ? 1 : 0;
