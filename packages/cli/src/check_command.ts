/**
 * `almondcrank check`: checks settings or a release note without a node.
 */

import { readFile } from "node:fs/promises";
import { Command, Option } from "clipanion";
import { parse } from "jsonc-parser";
import { formatThrown } from "@almondcrank/common/kind_error.ts";
import { parseReleaseNote } from "@almondcrank/fleet/release_note.ts";
import { parseNodeSettings } from "@almondcrank/node/settings.ts";
import { exitCodes } from "./exit_codes.ts";

/** Checks one file. */
export class CheckCommand extends Command {
  static override paths = [["check"]];
  static override usage = Command.Usage({
    description: "check settings or a release note",
    details:
      "Names file, line, column, key and remedy of every fault. What a note needs of the configuration in force is checked by `diff`.",
    examples: [["Check a note", "almondcrank check note.jsonc"]],
  });

  file = Option.String({ name: "file", required: true });

  override async execute(): Promise<number> {
    let text: string;
    try {
      text = await readFile(this.file, "utf8");
    } catch (thrown) {
      this.context.stderr.write(
        `${formatThrown(thrown)}; name a file that can be read\n`,
      );
      return exitCodes.invalid;
    }
    const checked = isReleaseNote(text)
      ? parseReleaseNote(text, this.file).map(() => "release note")
      : parseNodeSettings(this.file, text).map(() => "settings");
    return checked.mapLeft((error) => error.message).caseOf<number>({
      Left: (message) => {
        this.context.stderr.write(`${message}\n`);
        return exitCodes.invalid;
      },
      Right: (kind) => {
        this.context.stdout.write(`${this.file}: ${kind} without faults\n`);
        return exitCodes.done;
      },
    });
  }
}

/** Whether a file looks like a note rather than settings. */
function isReleaseNote(text: string): boolean {
  const value: unknown = parse(text);
  return typeof value === "object" && value !== null &&
    ["add", "change", "withdraw"].some((key) => key in value);
}
