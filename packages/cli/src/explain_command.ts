/**
 * `almondcrank explain`: shows the timeline of one request from the collected logs
 * of all nodes.
 */

import { readFile } from "node:fs/promises";
import { basename } from "node:path";
import { Command, Option } from "clipanion";
import { formatThrown } from "@almondcrank/common/kind_error.ts";
import { exitCodes } from "./exit_codes.ts";
import { type LogLine, parseLogLines } from "./log_lines.ts";
import { composeTimeline, formatTimeline } from "./request_timeline.ts";

/** Shows what the nodes decided about a request, and on what state. */
export class ExplainCommand extends Command {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    category: "Operators",
    description: "show the timeline of one request from collected logs",
    details:
      "Reads the JSON lines that gateway nodes write on standard output, from one or more files. Lines about the request are marked with an asterisk; the others show changes of its nodes' view of the system at the time.",
    examples: [[
      "A request that a caller complains about",
      "almondcrank explain 9c41d07be2a35f68 logs/node-1.log logs/node-2.log",
    ]],
  });

  requestId = Option.String({ name: "request", required: true });
  files = Option.Rest({ name: "files", required: 1 });

  override async execute(): Promise<number> {
    const lines: LogLine[] = [];
    for (const file of this.files) {
      try {
        const node = basename(file).replace(/\.\w+$/, "");
        lines.push(...parseLogLines(await readFile(file, "utf8"), node));
      } catch (thrown) {
        this.context.stderr.write(
          `${formatThrown(thrown)}; name files that can be read\n`,
        );
        return exitCodes.invalid;
      }
    }
    const timeline = composeTimeline(lines, this.requestId);
    if (timeline.length === 0) {
      this.context.stderr.write(
        `no line about ${this.requestId} among ${lines.length} log lines; collect the logs of all nodes, and note that answered requests are logged at a limited rate ("omitted" counts the rest)\n`,
      );
      return exitCodes.failed;
    }
    this.context.stdout.write(`${formatTimeline(timeline)}\n`);
    return exitCodes.done;
  }
}
