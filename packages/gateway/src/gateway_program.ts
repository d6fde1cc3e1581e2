/**
 * Runs a gateway node as a process: settings file, signals and exit codes.
 */

import { readFileSync } from "node:fs";
import process from "node:process";
import { LineBuffer } from "@almondcrank/common/line_buffer.ts";
import { type Log, TslogLog } from "@almondcrank/common/logs.ts";
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

/**
 * Runs a gateway node until SIGTERM.
 *
 * Missing or invalid settings end the process with code 2 and a message on
 * standard error.
 */
export async function runGatewayProgram(): Promise<void> {
  const path = process.env[settingsVariable];
  if (path === undefined) {
    return endInvalid(
      `${settingsVariable} is not set; give the path of the settings file`,
    );
  }
  const lines = LineBuffer.create((text) => void process.stdout.write(text));
  process.on("exit", () => lines.writeAll());
  const log = TslogLog.create("gateway", {
    level: "info",
    format: "json",
    write: (line) => lines.add(line),
  });
  const settings = LiveSettings.create({
    log,
    readText: () => readFileSync(path, "utf8"),
    decode: decodeSettings,
  });
  await settings.caseOf<void | Promise<void>>({
    Left: (error) => endInvalid(error.message),
    Right: (live) => runGateway(live, log),
  });
}

async function runGateway(settings: LiveSettings, log: Log): Promise<void> {
  process.on("SIGHUP", () => {
    log.info("SIGHUP received, reading the settings again.");
    settings.refresh();
  });
  // The file may also change without a signal.
  setInterval(() => settings.refresh(), settingsCheckMs).unref();
  const gateway = await Gateway.open({ settings, log, metricsPort });
  log.info("gateway started.", { node: settings.current.nodeName });
  process.once("SIGTERM", () => {
    void gateway.drain().then(() => process.exit(0));
  });
}

function endInvalid(message: string): void {
  process.stderr.write(`${message}\n`);
  process.exit(exitInvalid);
}
