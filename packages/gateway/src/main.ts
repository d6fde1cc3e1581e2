/**
 * Program of a gateway node on the platform.
 *
 * Kept apart from the operators' program so that a node starts with as little
 * code as possible.
 */

import { readFileSync } from "node:fs";
import process from "node:process";
import { TslogLog } from "@almondcrank/common/logs.ts";
import {
  decodeSettings,
  settingsVariable,
} from "@almondcrank/platform/decode_settings.ts";
import { Gateway } from "./gateway.ts";

const exitInvalid = 2;

async function run(): Promise<void> {
  const path = process.env[settingsVariable];
  if (path === undefined) {
    process.stderr.write(
      `${settingsVariable} is not set; give the path of the settings file\n`,
    );
    process.exit(exitInvalid);
  }
  const settings = decodeSettings(readFileSync(path, "utf8"));
  const log = TslogLog.create("gateway", {
    level: "info",
    format: "json",
    write: (line) => void process.stdout.write(line + "\n"),
  });
  if (settings.isLeft()) {
    settings.ifLeft((error) => process.stderr.write(`${error.message}\n`));
    process.exit(exitInvalid);
  }
  process.on("SIGHUP", () => log.info("SIGHUP received."));
  const gateway = await Gateway.open({
    settings: settings.unsafeCoerce(),
    log,
  });
  process.once("SIGTERM", () => {
    void gateway.drain().then(() => process.exit(0));
  });
}

void run();
