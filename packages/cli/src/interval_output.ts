/**
 * Output that is shown again at an interval, as the `top` commands do.
 */

import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import type { BaseContext } from "clipanion";
import { findInvalidPositive } from "./check_numbers.ts";
import { type ExitCode, exitCodes } from "./exit_codes.ts";

const msPerSecond = 1_000;
/** Clears a terminal and moves to its first line. */
const clearSequence = "\x1b[2J\x1b[H";

/** Options `--every` and `--times` as given, and where to write. */
export interface IntervalOptions {
  /** Seconds between outputs. */
  readonly every: string;
  /** Number of outputs. */
  readonly times: string;
  readonly context: Pick<BaseContext, "stdout" | "stderr">;
}

/**
 * Runs `step` at the interval until it fails or has run often enough.
 *
 * @param step Writes one output after the prefix that it gets.
 * @returns The exit code of the step that failed, or `done`.
 */
export async function runAtInterval(
  { every, times, context }: IntervalOptions,
  step: (prefix: string) => Promise<ExitCode>,
): Promise<ExitCode> {
  const invalid = findInvalidPositive({ "--every": every, "--times": times });
  if (invalid !== undefined) {
    context.stderr.write(`${invalid}\n`);
    return exitCodes.invalid;
  }
  const isTerminal = context.stdout === process.stdout && process.stdout.isTTY;
  const prefix = isTerminal ? clearSequence : "";
  for (let left = Number(times); left > 0; left -= 1) {
    const code = await step(prefix);
    if (code !== exitCodes.done) return code;
    if (left > 1) await sleep(Number(every) * msPerSecond);
  }
  return exitCodes.done;
}
