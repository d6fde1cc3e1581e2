/**
 * `almondcrank load routes`: open-loop load on gateway nodes.
 */

import { Command, Option } from "clipanion";
import { parseAddress } from "@almondcrank/common/address.ts";
import { parsePhases, type Phase } from "@almondcrank/load/arrivals.ts";
import {
  formatRouteReport,
  runRouteLoad,
} from "@almondcrank/load/route_load.ts";
import {
  exampleHostname,
  tenantKey,
} from "@almondcrank/standin/platform/example_configuration.ts";
import { findInvalidInteger, findInvalidPositive } from "./check_numbers.ts";
import { exitCodes } from "./exit_codes.ts";
import { GatewayFleet } from "./gateway_fleet.ts";

const nodeCount = 2;
const examplePaths = [
  "/answer/draft/stream",
  "/book/slot",
  "/lookup/slot",
] as const;

/** Sends requests at a given rate and reports statuses and latencies. */
export class LoadRoutesCommand extends Command {
  static override paths = [["load", "routes"]];
  static override usage = Command.Usage({
    description: "send requests to gateway nodes at a given rate and report",
    details:
      "Without --node, two nodes and stand-ins of the platform are started on loopback and loaded. Arrivals are open-loop: their times do not depend on the answers.",
    examples: [
      ["Ten seconds against stand-ins", "almondcrank load routes"],
      [
        "Running nodes",
        "almondcrank load routes --node 10.1.0.14:8221 --host api.example --path /answer/x --key KEY --phases 20:30s",
      ],
    ],
  });

  nodes = Option.Array("--node", [], {
    description: "callers' address of a node; may be given several times",
  });
  host = Option.String("--host", exampleHostname);
  requestPaths = Option.Array("--path", [...examplePaths]);
  key = Option.String("--key", tenantKey);
  phases = Option.String("--phases", "20:10s", {
    description: "RATE:SECONDSs or FROM-TO:SECONDSs, separated by commas",
  });
  seed = Option.String("--seed", "1");
  deadlineMs = Option.String("--deadline-ms", "4000");
  json = Option.Boolean("--json", false);

  override async execute(): Promise<number> {
    const phases = parsePhases(this.phases);
    const invalid = this.nodes.find((node) => parseAddress(node) === undefined);
    if (invalid !== undefined) {
      return this.#refuse(
        `"${invalid}" is not an IP address with a port; pass --node like 10.1.0.14:8221`,
      );
    }
    const invalidNumber = findInvalidInteger({ "--seed": this.seed }) ??
      findInvalidPositive({ "--deadline-ms": this.deadlineMs });
    if (invalidNumber !== undefined) return this.#refuse(invalidNumber);
    return await phases.caseOf({
      Left: (message) => Promise.resolve(this.#refuse(message)),
      Right: (phases) => this.#load(phases),
    });
  }

  async #load(phases: readonly Phase[]): Promise<number> {
    if (this.nodes.length > 0) return await this.#measure(this.nodes, phases);
    const fleet = await GatewayFleet.open(nodeCount);
    try {
      return await this.#measure(fleet.callerAddresses, phases);
    } finally {
      await fleet.close();
    }
  }

  async #measure(
    nodes: readonly string[],
    phases: readonly Phase[],
  ): Promise<number> {
    const report = await runRouteLoad({
      nodes,
      host: this.host,
      paths: this.requestPaths,
      key: this.key,
      phases,
      seed: Number(this.seed),
      deadlineMs: Number(this.deadlineMs),
    });
    const text = this.json ? JSON.stringify(report) : formatRouteReport(report);
    this.context.stdout.write(`${text}\n`);
    return report.broken > 0 ? exitCodes.failed : exitCodes.done;
  }

  #refuse(message: string): number {
    this.context.stderr.write(`${message}\n`);
    return exitCodes.invalid;
  }
}
