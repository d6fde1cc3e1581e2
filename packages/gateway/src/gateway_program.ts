/**
 * Runs a gateway node as a process: settings file, signals and exit codes.
 */

import { readFileSync } from "node:fs";
import process from "node:process";
import { SystemClock } from "@almondcrank/common/clock.ts";
import { LineBuffer } from "@almondcrank/common/line_buffer.ts";
import { LogOutput } from "@almondcrank/common/log_output.ts";
import { type Log, TslogLog } from "@almondcrank/common/logs.ts";
import { ProcessSignals } from "@almondcrank/common/process_signals.ts";
import { runServerProcess } from "@almondcrank/common/server_process.ts";
import {
  decodeSettings,
  settingsVariable,
} from "@almondcrank/platform/decode_settings.ts";
import { Gateway } from "./gateway.ts";
import { LiveSettings } from "./live_settings.ts";

const exitInvalid = 2;
/** Port of the metrics, as the deploy file declares it. */
const metricsPort = 9_464;
const settingsCheckMs = 1_000;
/** Time for the last lines of the log to leave. */
const flushMs = 200;

/**
 * Runs a gateway node until SIGTERM.
 *
 * Missing or invalid settings end the process with code 2 and a message on
 * standard error.
 *
 * @param early Signals that came while the program was loaded.
 */
export async function runGatewayProgram(
  early: readonly string[] = [],
): Promise<void> {
  const output = LogOutput.create(process.stdout);
  const errorOutput = LogOutput.create(process.stderr);
  const lines = LineBuffer.create((text) => output.write(text));
  const log = TslogLog.create("gateway", {
    level: "info",
    format: "json",
    write: (line) => lines.add(line),
  });
  const end = async (code: number): Promise<void> => {
    lines.writeAll();
    await Promise.all([output.flush(flushMs), errorOutput.flush(flushMs)]);
    process.exit(code);
  };
  const path = process.env[settingsVariable];
  if (path === undefined) {
    errorOutput.write(
      `${settingsVariable} is not set; give the path of the settings file\n`,
    );
    return await end(exitInvalid);
  }
  const signals = ProcessSignals.create({ source: process, log, early });
  const settings = await Promise.race([
    LiveSettings.open({
      log,
      readText: () => readFileSync(path, "utf8"),
      decode: decodeSettings,
    }, SystemClock.create()),
    signals.waitForStop(),
  ]);
  // A signal to stop came first, and nothing was taken yet.
  if (typeof settings === "string") return await end(0);
  await settings.caseOf({
    Left: async (error) => {
      errorOutput.write(`${error.message}\n`);
      await end(exitInvalid);
    },
    Right: async (live) => await end(await runGateway(live, signals, log)),
  });
}

/** Runs a gateway with its settings; returns the exit code. */
async function runGateway(
  settings: LiveSettings,
  signals: ProcessSignals,
  log: Log,
): Promise<number> {
  signals.onReload(() => settings.refresh());
  // The file may also change without a signal.
  setInterval(() => settings.refresh(), settingsCheckMs).unref();
  return await runServerProcess({
    signals,
    errors: process,
    log,
    open: async () => {
      const gateway = await Gateway.open({ settings, log, metricsPort });
      log.info("gateway started.", { node: settings.current.nodeName });
      return gateway;
    },
    drain: (gateway) => gateway.drain(),
  });
}
