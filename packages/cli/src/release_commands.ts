/**
 * `almondcrank diff` and `almondcrank apply`: show what a release note would
 * change, and apply it.
 */

import { randomUUID } from "node:crypto";
import { readFile } from "node:fs/promises";
import { Command, Option } from "clipanion";
import { type Either, Left, Right } from "purify-ts";
import { formatThrown } from "@almondcrank/common/kind_error.ts";
import type { DiffResponse } from "@almondcrank/node/operator_messages.ts";
import type { ApplyResponse } from "@almondcrank/node/operator_messages.ts";
import { type ExitCode, exitCodes } from "./exit_codes.ts";
import type { OperatorClient } from "./operator_client.ts";
import { OperatorCommand } from "./operator_command.ts";

const revisionPattern = /^\d{1,15}$/;

/** Base of the commands that send a release note. */
abstract class NoteCommand extends OperatorCommand {
  note = Option.String({ name: "note", required: true });

  /** Reads the note's text; `Left` is an error message. */
  protected async readNote(): Promise<Either<string, string>> {
    try {
      return Right(await readFile(this.note, "utf8"));
    } catch (thrown) {
      return Left(`${formatThrown(thrown)}; name a file that can be read`);
    }
  }

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const text = await this.readNote();
    return await text.caseOf({
      Left: (message) => {
        this.context.stderr.write(`${message}\n`);
        return Promise.resolve(exitCodes.invalid);
      },
      Right: (note) => this.sendNote(client, note),
    });
  }

  protected abstract sendNote(
    client: OperatorClient,
    text: string,
  ): Promise<ExitCode>;
}

/** Shows what a release note would change. */
export class DiffCommand extends NoteCommand {
  static override paths = [["diff"]];
  static override usage = Command.Usage({
    category: "Operators",
    description: "show what a release note would change",
    examples: [[
      "Look before applying",
      "almondcrank diff note.jsonc --node 127.0.0.1:9000",
    ]],
  });

  protected override async sendNote(
    client: OperatorClient,
    text: string,
  ): Promise<ExitCode> {
    const answer = await client.send("/diff", { file: this.note, text });
    return answer.caseOf({
      Left: (error) => this.writeError(error),
      Right: (value) => {
        this.write(value as DiffResponse, formatDiff);
        return exitCodes.done;
      },
    });
  }
}

/** Applies a release note. */
export class ApplyCommand extends NoteCommand {
  static override paths = [["apply"]];
  static override usage = Command.Usage({
    category: "Operators",
    description: "apply a release note",
    details:
      "The note is applied atomically, and only if nothing has changed since revision --base, which `diff` prints. Without --base the revision in force at the node is used. Exit code 3 means that the configuration has changed since then, 5 that the outcome is unknown: run the command again with the same --write-id.",
    examples: [[
      "Apply what diff showed",
      "almondcrank apply note.jsonc --base 17 --node 127.0.0.1:9000",
    ]],
  });

  base = Option.String("--base", {
    description: "revision the note was checked against",
  });
  writeId = Option.String("--write-id", {
    description: "identifies this change when it is sent again",
  });

  protected override async sendNote(
    client: OperatorClient,
    text: string,
  ): Promise<ExitCode> {
    if (this.base !== undefined && !revisionPattern.test(this.base)) {
      this.context.stderr.write(
        "--base is not a whole number; pass the revision that diff printed\n",
      );
      return exitCodes.invalid;
    }
    const base = this.base === undefined ? undefined : Number(this.base);
    const writeId = this.writeId ?? randomUUID();
    const answer = await client.send("/apply", {
      file: this.note,
      text,
      base,
      writeId,
    });
    return answer.caseOf({
      Left: (error) => {
        const code = this.writeError(error);
        if (code === exitCodes.unknown || code === exitCodes.unreachable) {
          this.context.stderr.write(
            `to send it again without applying it twice, pass --write-id ${writeId}\n`,
          );
        }
        return code;
      },
      Right: (value) => {
        this.write(value as ApplyResponse, formatApplied);
        return exitCodes.done;
      },
    });
  }
}

function formatDiff(diff: DiffResponse): string {
  if (diff.changes.length === 0) {
    return `nothing changes at revision ${diff.base}`;
  }
  return [`against revision ${diff.base}:`, ...diff.changes].join("\n");
}

function formatApplied(applied: ApplyResponse): string {
  return `applied as revision ${applied.revision}`;
}
