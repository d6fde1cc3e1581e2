/**
 * `almondcrank check`: checks settings, a release note or a configuration of the
 * platform without calling a node.
 */

import { readFile } from "node:fs/promises";
import { Command, Option } from "clipanion";
import { parse } from "jsonc-parser";
import { formatThrown } from "@almondcrank/common/kind_error.ts";
import { checkConfiguration } from "@almondcrank/gateway/routes/check_configuration.ts";
import { decodeSettings } from "@almondcrank/platform/decode_settings.ts";
import { findPlatformFileKind } from "@almondcrank/platform/platform_files.ts";
import { type Either, Left, Right } from "purify-ts";
import { parseReleaseNote } from "@almondcrank/fleet/release_note.ts";
import { parseNodeSettings } from "@almondcrank/node/settings.ts";
import { exitCodes } from "./exit_codes.ts";

/** Reports the faults of one file. */
export class CheckCommand extends Command {
  static override paths = [["check"]];
  static override usage = Command.Usage({
    description: "check settings, a release note or a configuration",
    details:
      "Reports file, line, column, key and remedy of every fault. `diff` checks a release note against the configuration in force.",
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
    return checkText(this.file, text).caseOf<number>({
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

/**
 * Checks a text by the kind of file that its contents suggest.
 *
 * @returns The kind, or a message with one line for each fault.
 */
function checkText(file: string, text: string): Either<string, string> {
  switch (findPlatformFileKind(text)) {
    case "settings":
      return decodeSettings(text).bimap(
        (error) => error.message,
        () => "settings of the platform",
      );
    case "configuration": {
      const faults = checkConfiguration(text);
      return faults.length > 0
        ? Left(faults.map((fault) => `${file}: ${fault}`).join("\n"))
        : Right("configuration of the platform");
    }
    case undefined:
      break;
  }
  const checked = isReleaseNote(text)
    ? parseReleaseNote(text, file).map(() => "release note")
    : parseNodeSettings(file, text).map(() => "settings");
  return checked.mapLeft((error) => error.message);
}

/** Whether a text has a key of a release note; other texts are settings. */
function isReleaseNote(text: string): boolean {
  const value: unknown = parse(text);
  return typeof value === "object" && value !== null &&
    ["add", "change", "withdraw"].some((key) => key in value);
}
