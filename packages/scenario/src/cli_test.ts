/**
 * Operators' commands against a fleet, run in the test's own process.
 */

import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { PassThrough } from "node:stream";
import { Cli } from "clipanion";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { CheckCommand } from "@almondcrank/cli/check_command.ts";
import {
  ApplyCommand,
  DiffCommand,
} from "@almondcrank/cli/release_commands.ts";
import {
  DrainCommand,
  StatusCommand,
  TopCommand,
} from "@almondcrank/cli/status_commands.ts";
import { operatorKey, TestFleet, waitUntil } from "./testing/test_fleet.ts";

const cli = new Cli({ binaryLabel: "almondcrank", binaryName: "almondcrank" });
for (
  const command of [
    CheckCommand,
    DiffCommand,
    ApplyCommand,
    StatusCommand,
    TopCommand,
    DrainCommand,
  ]
) {
  cli.register(command);
}

const folder = mkdtempSync(join(tmpdir(), "cli-test-"));
let fleet: TestFleet;

test.before(async () => {
  fleet = await TestFleet.open();
});
test.after(() => {
  fleet?.dispose();
  rmSync(folder, { recursive: true });
});

/** Writes a file into the test's folder and returns its path. */
function writeFile(name: string, text: string): string {
  const path = join(folder, name);
  writeFileSync(path, text);
  return path;
}

const keyFile = writeFile("key", `${operatorKey}\n`);
/** Writes a release note that changes the share of the team `desk`. */
const writeShareNote = (value: number): string =>
  writeFile(
    `share-${value}.jsonc`,
    `{ "change": { "teams": [{ "name": "desk", "share": ${value} }] } }`,
  );

/** Exit code and output of a command. */
interface CommandResult {
  readonly code: number;
  readonly output: string;
  readonly errors: string;
}

/** Runs a command line. */
async function runCommand(...words: readonly string[]): Promise<CommandResult> {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const code = await cli.run([...words], { stdout, stderr });
  return {
    code,
    output: String(stdout.read() ?? ""),
    errors: String(stderr.read() ?? ""),
  };
}

/** Runs an operators' command against the fleet. */
function runOperator(...words: readonly string[]): Promise<CommandResult> {
  return runCommand(
    ...words,
    "--node",
    fleet.operators,
    "--key-file",
    keyFile,
  );
}

test("check reports a valid release note", async () => {
  const { code, output } = await runCommand("check", writeShareNote(2));
  assert.is(code, 0);
  assert.match(output, "release note without faults");
});

test("check reports file, line, column and remedy of an error", async () => {
  const { code, errors } = await runCommand("check", writeShareNote(-1));
  assert.is(code, 2);
  assert.match(errors, /share--1\.jsonc:1:\d+: .*correct the value/);
});

test("check names a key that the settings lack", async () => {
  const file = writeFile("settings.jsonc", '{ "node": "node-1" }');
  const { code, errors } = await runCommand("check", file);
  assert.is(code, 2);
  assert.match(errors, "operatorKey");
});

for (const command of ["check", "diff", "apply"]) {
  test(`${command} of a missing file says what to do`, async () => {
    const file = join(folder, "nothing");
    const { code, errors } = command === "check"
      ? await runCommand(command, file)
      : await runOperator(command, file);
    assert.is(code, 2);
    assert.match(errors, "name a file that can be read");
  });
}

test("diff, apply, and an apply with an outdated base", async () => {
  const diff = await runOperator("diff", writeShareNote(2));
  assert.is(diff.code, 0);
  assert.is(
    diff.output,
    "against revision 1:\nchange team desk: share 1 -> 2\n",
  );
  const applied = await runOperator("apply", writeShareNote(2), "--base", "1");
  assert.equal(applied, {
    code: 0,
    output: "applied as revision 2\n",
    errors: "",
  });
  await waitUntil(() => fleet.nodes.every((node) => node.revision === 2));
  const none = await runOperator("diff", writeShareNote(2));
  assert.is(none.output, "nothing changes at revision 2\n");
  const stale = await runOperator("apply", writeShareNote(3), "--base", "1");
  assert.is(stale.code, 3);
  assert.match(stale.errors, "run diff again and apply to revision 2");
  const json = await runOperator(
    "apply",
    writeShareNote(3),
    "--base",
    "1",
    "--json",
  );
  assert.is(json.code, 3);
  assert.is(JSON.parse(json.output).error.kind, "conflict");
});

test("diff of an invalid release note reports the position of the error", async () => {
  const { code, errors } = await runOperator("diff", writeShareNote(-1));
  assert.is(code, 2);
  assert.match(errors, /share--1\.jsonc:1:\d+/);
});

for (const base of ["x", "", "-1", "1.5"]) {
  test(`apply refuses --base=${base}`, async () => {
    const ended = await runOperator(
      "apply",
      writeShareNote(4),
      `--base=${base}`,
    );
    assert.is(ended.code, 2);
    assert.match(ended.errors, "pass the revision that diff printed");
  });
}

test("apply refuses a write id that is too short", async () => {
  const ended = await runOperator(
    "apply",
    writeShareNote(4),
    "--write-id",
    "a",
  );
  assert.is(ended.code, 2);
  assert.match(ended.errors, /writeId.*correct the request/);
});

test("status prints tables, or JSON for programs", async () => {
  const { code, output } = await runOperator("status");
  assert.is(code, 0);
  assert.match(output, /^node node-1, ready, revision \d+/);
  assert.match(output, /engine-1 +assistant +muc-1 +reachable/);
  const json = await runOperator("status", "--json");
  assert.is(JSON.parse(json.output).node, "node-1");
});

for (const option of ["--times=x", "--times=0", "--every=x", "--every=-1"]) {
  test(`top refuses ${option}`, async () => {
    const { code, errors } = await runOperator("top", "--times=1", option);
    assert.is(code, 2);
    assert.match(errors, /pass .* greater than 0/);
  });
}

test("top prints as many times as requested", async () => {
  const { code, output } = await runOperator(
    "top",
    "--times=2",
    "--every=0.01",
  );
  assert.is(code, 0);
  assert.is(output.match(/^node node-1/gm)?.length, 2);
});

test("the error for a missing key file says what to do", async () => {
  const { code, errors } = await runCommand(
    "status",
    "--node",
    fleet.operators,
    "--key-file",
    join(folder, "nothing"),
  );
  assert.is(code, 2);
  assert.match(errors, "pass --key-file");
});

test("the error for a wrong key says what to do", async () => {
  const wrongKeyFile = writeFile("wrong", "wrong-key");
  const { code, errors } = await runCommand(
    "status",
    "--node",
    fleet.operators,
    "--key-file",
    wrongKeyFile,
  );
  assert.is(code, 1);
  assert.match(errors, "ALMONDCRANK_OPERATOR_KEY");
});

test("the error for an invalid address says what to do", async () => {
  const { code, errors } = await runCommand("status", "--node", "nobody");
  assert.is(code, 2);
  assert.match(errors, "pass --node like");
});

test("drain refuses an unknown node and stops this one", async () => {
  const unknown = await runOperator("drain", "nobody");
  assert.is(unknown.code, 2);
  assert.match(unknown.errors, "list them with status");
  const { operators } = fleet;
  const drained = await runOperator("drain", "node-1");
  assert.equal(drained, {
    code: 0,
    output: "node-1 is draining\n",
    errors: "",
  });
  const words = ["status", "--node", operators, "--key-file", keyFile];
  await waitUntil(async () => (await runCommand(...words)).code === 4);
  const { errors } = await runCommand(...words);
  assert.match(errors, "try another node");
});

test.run();
