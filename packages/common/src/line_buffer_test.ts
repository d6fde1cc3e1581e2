import { spawnSync } from "node:child_process";
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { LineBuffer } from "./line_buffer.ts";

test("lines of one turn are written together and in order", async () => {
  const written: string[] = [];
  const buffer = LineBuffer.create((text) => written.push(text));
  buffer.add("a");
  buffer.add("b");
  await Promise.resolve();
  buffer.add("c");
  assert.equal(written, []);
  await new Promise((resolve) => setTimeout(resolve, 1));
  buffer.add("d");
  await new Promise((resolve) => setTimeout(resolve, 1));
  assert.equal(written, ["a\nb\nc\n", "d\n"]);
});

test("a line that is written once is not written again", () => {
  const written: string[] = [];
  const buffer = LineBuffer.create((text) => written.push(text));
  buffer.add("a");
  buffer.writeAll();
  buffer.writeAll();
  assert.equal(written, ["a\n"]);
});

for (const end of ["process.exit(3);", "throw new Error('fault');"]) {
  test(`a process that ends by \`${end}\` has written its lines`, () => {
    const module = new URL("./line_buffer.ts", import.meta.url).href;
    const program = `
      import { LineBuffer } from ${JSON.stringify(module)};
      const buffer = LineBuffer.create((text) => process.stdout.write(text));
      process.on("exit", () => buffer.writeAll());
      buffer.add("last line");
      ${end}`;
    const { stdout } = spawnSync(process.execPath, [
      "--import",
      "tsx",
      "--input-type=module",
      "--eval",
      program,
    ], { encoding: "utf8" });
    assert.is(stdout, "last line\n");
  });
}

test.run();
