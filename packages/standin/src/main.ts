/**
 * The program `standin`: starts the stand-ins that a settings file lists.
 *
 * Prints `ready` on standard output once all of them listen; exits on SIGTERM
 * or SIGINT.
 */

import { readFileSync } from "node:fs";
import process from "node:process";
import { Builtins, Cli, Command, Option } from "clipanion";
import { SystemClock } from "@almondcrank/common/clock.ts";
import { parseJsoncFile } from "@almondcrank/common/jsonc_file.ts";
import { formatThrown } from "@almondcrank/common/kind_error.ts";
import { StandinSet } from "./standin_set.ts";
import { type StandinSettings, standinSettings } from "./standin_settings.ts";

class StandinCommand extends Command {
  static override readonly paths = [Command.Default];
  static override readonly usage = Command.Usage({
    description: "Starts stand-ins for the platform and the endpoints.",
    examples: [["Start all parts of a file", "standin --settings FILE"]],
  });

  readonly settings = Option.String("--settings", {
    required: true,
    description: "JSON with comments; see docs/STANDIN.md.",
  });

  override async execute(): Promise<number> {
    try {
      const parsed = parseJsoncFile({
        file: this.settings,
        text: readFileSync(this.settings, "utf8"),
        schema: standinSettings,
      });
      return await parsed.caseOf({
        Left: (error) => Promise.resolve(this.#writeFailure(error.message)),
        Right: ({ value }) => this.#run(value),
      });
    } catch (thrown) {
      // The file cannot be read, or an address cannot be bound.
      return this.#writeFailure(formatThrown(thrown));
    }
  }

  async #run(settings: StandinSettings): Promise<number> {
    const set = await StandinSet.open(settings, {
      clock: SystemClock.create(),
    });
    // Listens before printing: a parent that reads the line may signal at once.
    const signal = waitSignal();
    this.context.stdout.write("ready\n");
    await signal;
    set.dispose();
    return 0;
  }

  #writeFailure(message: string): number {
    this.context.stderr.write(`standin: ${message}\n`);
    return 1;
  }
}

function waitSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once("SIGTERM", () => resolve());
    process.once("SIGINT", () => resolve());
  });
}

const cli = new Cli({ binaryLabel: "standin", binaryName: "standin" });
cli.register(StandinCommand);
cli.register(Builtins.HelpCommand);
void cli.runExit(process.argv.slice(2));
