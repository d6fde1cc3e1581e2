import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { test } from "uvu";
import * as assert from "uvu/assert";

const program = fileURLToPath(new URL("./main.ts", import.meta.url));

interface ProgramResult {
  readonly code: number | null;
  readonly output: string;
}

/** Runs the program with a settings file until it exits. */
async function runProgram(
  settings: string,
  onOutput: (child: ChildProcess, output: string) => void = () => {},
): Promise<ProgramResult> {
  const folder = mkdtempSync(join(tmpdir(), "standin-"));
  const file = join(folder, "settings.jsonc");
  writeFileSync(file, settings);
  try {
    return await new Promise((resolve) => {
      const child = spawn(process.execPath, [
        "--import",
        "tsx",
        program,
        "--settings",
        file,
      ]);
      let output = "";
      const recordOutput = (data: unknown): void => {
        output += String(data);
        onOutput(child, output);
      };
      child.stdout.on("data", recordOutput);
      child.stderr.on("data", recordOutput);
      child.on("close", (code) => resolve({ code, output }));
    });
  } finally {
    rmSync(folder, { recursive: true });
  }
}

test("the program prints ready and exits on SIGTERM", async () => {
  const settings = '{ "objectApi": { "address": "127.0.0.1:0" } /* one */ }';
  const ended = await runProgram(settings, (child, output) => {
    if (output === "ready\n") child.kill("SIGTERM");
  });
  assert.equal(ended, { code: 0, output: "ready\n" });
});

test("a settings error ends the program and names file, line and key", async () => {
  const { code, output } = await runProgram(
    '{\n"objectApi": { "adress": 1 } }',
  );
  assert.is(code, 1);
  assert.match(output, "settings.jsonc:2:26: objectApi.adress");
});

test("an address that cannot be bound ends the program", async () => {
  const settings = '{ "objectApi": { "address": "192.0.2.1:9" } }';
  const { code, output } = await runProgram(settings);
  assert.is(code, 1);
  assert.match(output, "EADDRNOTAVAIL");
});

test.run();
