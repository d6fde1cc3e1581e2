/**
 * `almondcrank status`, `top` and `drain`: show the state of the system as one node
 * sees it, and drain a node.
 */

import { Command, Option } from "clipanion";
import type { NodeStatus } from "@almondcrank/node/operator_messages.ts";
import { type ExitCode, exitCodes } from "./exit_codes.ts";
import { runAtInterval } from "./interval_output.ts";
import type { OperatorClient } from "./operator_client.ts";
import { OperatorCommand } from "./operator_command.ts";
import { formatTable } from "@almondcrank/common/text_table.ts";

/** Shows nodes and endpoints as a node sees them. */
export class StatusCommand extends OperatorCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    category: "Operators",
    description: "show nodes and endpoints as a node sees them",
    examples: [["For programs", "almondcrank status --json"]],
  });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const answer = await client.read("/status");
    return answer.caseOf({
      Left: (error) => this.writeError(error),
      Right: (value) => {
        this.write(value as NodeStatus, formatStatus);
        return exitCodes.done;
      },
    });
  }
}

/** Shows the status at an interval. */
export class TopCommand extends OperatorCommand {
  static override paths = [["top"]];
  static override usage = Command.Usage({
    category: "Operators",
    description: "show the status every few seconds",
    examples: [["Ten times", "almondcrank top --times 10"]],
  });

  every = Option.String("--every", "2", {
    description: "seconds between updates",
  });
  times = Option.String("--times", "1000000", {
    description: "number of updates",
  });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    return await runAtInterval(this, async (prefix) => {
      const answer = await client.read("/status");
      return answer.caseOf({
        Left: (error) => this.writeError(error),
        Right: (value) => {
          this.context.stdout.write(prefix);
          this.write(value as NodeStatus, formatStatus);
          return exitCodes.done;
        },
      });
    });
  }
}

/** Drains a node without interrupting a request. */
export class DrainCommand extends OperatorCommand {
  static override paths = [["drain"]];
  static override usage = Command.Usage({
    category: "Operators",
    description: "drain a node: no new requests, the rest is finished",
    examples: [[
      "Drain one node through another",
      "almondcrank drain muc-1-a --node 127.0.0.1:9000",
    ]],
  });

  name = Option.String({ name: "node-name", required: true });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const answer = await client.send("/drain", { node: this.name });
    return answer.caseOf({
      Left: (error) => this.writeError(error),
      Right: (value) => {
        this.write(value, () => `${this.name} is draining`);
        return exitCodes.done;
      },
    });
  }
}

/** Formats a status as tables. */
export function formatStatus(status: NodeStatus): string {
  const nodes = status.nodes.map((node) => [
    node.node,
    node.zone,
    node.state,
    String(node.revision),
  ]);
  const endpoints = status.endpoints.map((endpoint) => [
    endpoint.endpoint,
    endpoint.service,
    endpoint.zone,
    endpoint.state,
    endpoint.running === undefined ? "-" : String(endpoint.running),
    endpoint.queued === undefined ? "-" : String(endpoint.queued),
  ]);
  return [
    `node ${status.node}, ${status.readiness}, revision ${status.revision}, ${status.requests} requests in progress`,
    "",
    formatTable(["NODE", "ZONE", "STATE", "REVISION"], nodes),
    "",
    formatTable(
      ["ENDPOINT", "SERVICE", "ZONE", "STATE", "RUNNING", "QUEUED"],
      endpoints,
    ),
  ].join("\n");
}
