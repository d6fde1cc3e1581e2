/**
 * `almondcrank serve`: runs one node until a signal stops it; `serve gateway` runs
 * a gateway node of the platform.
 */

import { readFile } from "node:fs/promises";
import process from "node:process";
import { Command, Option } from "clipanion";
import { LogOutput } from "@almondcrank/common/log_output.ts";
import { TslogLog } from "@almondcrank/common/logs.ts";
import { ProcessSignals } from "@almondcrank/common/process_signals.ts";
import { runServerProcess } from "@almondcrank/common/server_process.ts";
import { formatThrown } from "@almondcrank/common/kind_error.ts";
import { Node } from "@almondcrank/node/node.ts";
import { runGatewayProgram } from "@almondcrank/gateway/gateway_program.ts";
import { settingsVariable } from "@almondcrank/platform/decode_settings.ts";
import { parseNodeSettings } from "@almondcrank/node/settings.ts";
import { exitCodes } from "./exit_codes.ts";

/** Runs a gateway node with the settings file that the environment names. */
export class ServeGatewayCommand extends Command {
  static override paths = [["serve", "gateway"]];
  static override usage = Command.Usage({
    description: "run a gateway node of the platform",
    details:
      `Reads the settings file that ${settingsVariable} names. SIGHUP reads it again, SIGTERM drains the node.`,
    examples: [[
      "Run a gateway node",
      `${settingsVariable}=settings.json almondcrank serve gateway`,
    ]],
  });

  override async execute(): Promise<number> {
    await runGatewayProgram();
    // The node's listeners keep the process running until a signal ends it.
    return await new Promise<number>(() => undefined);
  }
}

/** Runs a node. SIGTERM, SIGINT and SIGQUIT drain it. */
export class ServeCommand extends Command {
  static override paths = [["serve"]];
  static override usage = Command.Usage({
    description: "run a node",
    details:
      "Runs one node with the settings of a file. SIGTERM drains it: it becomes not ready, finishes its requests, hands the rest over to a peer and ends.",
    examples: [["Run a node", "almondcrank serve --settings node.jsonc"]],
  });

  settings = Option.String("--settings", { required: true });

  override async execute(): Promise<number> {
    let text: string;
    try {
      text = await readFile(this.settings, "utf8");
    } catch (thrown) {
      this.context.stderr.write(
        `${formatThrown(thrown)}; name a file that can be read\n`,
      );
      return exitCodes.invalid;
    }
    const settings = parseNodeSettings(this.settings, text);
    return await settings.caseOf({
      Left: (error) => {
        this.context.stderr.write(`${error.message}\n`);
        return Promise.resolve<number>(exitCodes.invalid);
      },
      Right: async (checked) => {
        const output = LogOutput.create(process.stdout);
        const logOutput = LogOutput.create(process.stderr);
        const log = TslogLog.create("node", {
          ...checked.log,
          write: (line) => logOutput.write(`${line}\n`),
        });
        return await runServerProcess({
          signals: ProcessSignals.create({ source: process, log }),
          errors: process,
          log,
          open: async () => {
            const node = await Node.open({ settings: checked, log });
            output.write(`listening ${JSON.stringify(node.addresses)}\n`);
            return node;
          },
          drain: (node) => node.drain(),
        });
      },
    });
  }
}
