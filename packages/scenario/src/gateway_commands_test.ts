/**
 * Operators' commands against gateway nodes; each command is a process.
 */

import { spawn, spawnSync } from "node:child_process";
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { gatewayStatusSchema } from "@almondcrank/model/gateway_status.ts";
import { runWithSetup } from "./testing/gateway_helpers.ts";

const program = "dist/almondcrank.cjs";

/**
 * Runs the program without blocking this process, whose nodes it calls.
 */
async function runProgram(
  args: readonly string[],
): Promise<{ readonly code: number | null; readonly output: string }> {
  const child = spawn(process.execPath, [program, ...args]);
  let output = "";
  child.stdout.on("data", (data) => output += data);
  child.stderr.on("data", (data) => output += data);
  const code = await new Promise<number | null>((resolve) =>
    child.once("close", resolve)
  );
  return { code, output };
}

test("status gateway shows a node's view of the system", async () => {
  await runWithSetup(2, async (setup) => {
    setup.configure({ rate: 100, burst: 1_000 });
    await setup.waitUntil(async () => {
      const { output } = await runProgram([
        "status",
        "gateway",
        setup.findControlAddress(0),
        "--json",
      ]);
      const { peers, configurationVersion } = JSON.parse(output);
      return peers.length === 1 && configurationVersion === 2;
    });
    const json = await runProgram([
      "status",
      "gateway",
      setup.findControlAddress(0),
      "--json",
    ]);
    const status = gatewayStatusSchema.parse(JSON.parse(json.output));
    assert.is(status.node, "node-1");
    assert.ok(status.isReady);
    assert.equal(status.allowances, [{ tenant: "garages", left: 1_000 }]);
    assert.equal(
      status.replicas.map(({ id }) => id).sort(),
      ["booking-1", "booking-2", "model-1", "model-2"],
    );
    const shown = await runProgram([
      "top",
      "gateway",
      setup.findControlAddress(1),
      "--times",
      "2",
      "--every",
      "0.1",
    ]);
    assert.is(shown.code, 0);
    assert.is(shown.output.match(/node node-2 in muc-a, ready/g)?.length, 2);
    assert.match(shown.output, /garages/);
  });
});

test("status gateway says what to do when no node answers", async () => {
  const gone = await runProgram(["status", "gateway", "127.0.0.1:9"]);
  assert.is(gone.code, 4);
  assert.match(gone.output, /check the control address/);
  const wrong = await runProgram(["status", "gateway", "node-1"]);
  assert.is(wrong.code, 2);
  assert.match(wrong.output, /pass the node's control address/);
});

test("demo routes succeeds", () => {
  const { status, stdout } = spawnSync(
    process.execPath,
    [program, "demo", "routes"],
    { encoding: "utf8" },
  );
  assert.is(status, 0, stdout);
  assert.match(stdout, /Everything came out as promised/);
});

test("load routes reports answers and refuses bad input", () => {
  const loaded = spawnSync(
    process.execPath,
    [program, "load", "routes", "--phases", "20:2s", "--json"],
    { encoding: "utf8" },
  );
  assert.is(loaded.status, 0, loaded.stderr);
  const report = JSON.parse(loaded.stdout);
  assert.is(report.byStatus["200"], report.requests);
  const refused = spawnSync(
    process.execPath,
    [program, "load", "routes", "--node", "here"],
    { encoding: "utf8" },
  );
  assert.is(refused.status, 2);
  assert.match(refused.stderr, /pass --node like/);
  const seedless = spawnSync(
    process.execPath,
    [program, "load", "routes", "--seed", "many"],
    { encoding: "utf8" },
  );
  assert.is(seedless.status, 2);
  assert.match(seedless.stderr, /--seed "many" is not a whole number/);
});

test("explain says when the logs do not contain a request", async () => {
  const missing = await runProgram(["explain", "a", "/no/such/file"]);
  assert.is(missing.code, 2);
  assert.match(missing.output, /name files that can be read/);
  const unknown = await runProgram(["explain", "a", "package.json"]);
  assert.is(unknown.code, 1);
  assert.match(unknown.output, /collect the logs of all nodes/);
});

test.run();
