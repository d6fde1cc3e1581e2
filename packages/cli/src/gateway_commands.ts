/**
 * `almondcrank status gateway` and `top gateway`: the state of the platform as one
 * gateway node sees it.
 */

import { Command, Option } from "clipanion";
import { type Either, Left, Right } from "purify-ts";
import { request } from "undici";
import { parseAddress } from "@almondcrank/common/address.ts";
import { formatThrown } from "@almondcrank/common/kind_error.ts";
import { formatTable } from "@almondcrank/common/text_table.ts";
import {
  type GatewayStatus,
  gatewayStatusSchema,
} from "@almondcrank/model/gateway_status.ts";
import { type ExitCode, exitCodes } from "./exit_codes.ts";
import { runAtInterval } from "./interval_output.ts";

const timeoutMs = 3_000;

/** Why a status could not be shown. */
interface StatusFailure {
  readonly code: ExitCode;
  readonly message: string;
}

/** Base of both commands: reads a node's status and prints it. */
abstract class GatewayCommand extends Command {
  address = Option.String({ name: "control-address", required: true });
  json = Option.Boolean("--json", false, {
    description: "print JSON for programs",
  });

  /** Reads the status once and prints it after `prefix`, or the failure. */
  protected async writeStatus(prefix: string): Promise<ExitCode> {
    const status = await readStatus(this.address);
    return status.caseOf<ExitCode>({
      Left: ({ code, message }) => {
        this.context.stderr.write(`${message}\n`);
        return code;
      },
      Right: (value) => {
        const text = this.json
          ? JSON.stringify(value)
          : formatGatewayStatus(value);
        this.context.stdout.write(`${prefix}${text}\n`);
        return exitCodes.done;
      },
    });
  }
}

/** Shows a node's status once. */
export class GatewayStatusCommand extends GatewayCommand {
  static override paths = [["status", "gateway"]];
  static override usage = Command.Usage({
    category: "Operators",
    description: "show the status of a gateway node",
    examples: [["One node", "almondcrank status gateway 10.1.0.14:8229"]],
  });

  override async execute(): Promise<number> {
    return await this.writeStatus("");
  }
}

/** Shows a node's status at an interval. */
export class GatewayTopCommand extends GatewayCommand {
  static override paths = [["top", "gateway"]];
  static override usage = Command.Usage({
    category: "Operators",
    description: "show the status of a gateway node every few seconds",
    examples: [[
      "Ten times",
      "almondcrank top gateway 10.1.0.14:8229 --times 10",
    ]],
  });

  every = Option.String("--every", "2", {
    description: "seconds between updates",
  });
  times = Option.String("--times", "1000000", {
    description: "number of updates",
  });

  override async execute(): Promise<number> {
    return await runAtInterval(this, (prefix) => this.writeStatus(prefix));
  }
}

async function readStatus(
  address: string,
): Promise<Either<StatusFailure, GatewayStatus>> {
  if (parseAddress(address) === undefined) {
    const message =
      `"${address}" is not an IP address with a port; pass the node's control address, like 10.1.0.14:8229`;
    return Left({ code: exitCodes.invalid, message });
  }
  try {
    const { body } = await request(`http://${address}/status`, {
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
    });
    return Right(gatewayStatusSchema.parse(await body.json()));
  } catch (thrown) {
    const message = `${address} does not answer as a gateway node (${
      formatThrown(thrown)
    }); check the control address in its settings`;
    return Left({ code: exitCodes.unreachable, message });
  }
}

/** Formats a status as tables. */
export function formatGatewayStatus(status: GatewayStatus): string {
  const replicas = status.replicas.map((replica) => [
    replica.id,
    replica.service,
    replica.zone,
    replica.state,
    replica.isReclaimable ? "yes" : "no",
    String(replica.active),
    String(replica.pendingTokens),
    String(replica.slowness),
    String(replica.failureRate),
  ]);
  const peers = status.peers.map((peer) => [
    peer.node,
    peer.ip,
    `${peer.heardAgoMs} ms`,
    peer.isDraining ? "draining" : "serving",
    peer.isStoreUnreachable ? "no" : "yes",
    peer.isDutyHolder ? "holder" : "",
  ]);
  const allowances = status.allowances
    .map(({ tenant, left }) => [tenant, String(left)]);
  const sections = [
    formatSummary(status),
    formatTable(
      [
        "REPLICA",
        "SERVICE",
        "ZONE",
        "STATE",
        "RECLAIMABLE",
        "ACTIVE",
        "PENDING TOKENS",
        "SLOWNESS",
        "FAILURES",
      ],
      replicas,
    ),
    formatTable(
      ["PEER", "IP", "HEARD", "STATE", "REACHES STORE", "DUTIES"],
      peers,
    ),
    formatTable(["TENANT", "ALLOWANCE LEFT"], allowances),
  ];
  return sections.join("\n\n");
}

function formatSummary(status: GatewayStatus): string {
  const formatAge = (ms: number | null): string =>
    ms === null ? "never confirmed" : `confirmed ${ms} ms ago`;
  const configuration = status.configurationVersion === null
    ? "no configuration"
    : `configuration ${status.configurationVersion}`;
  return [
    `node ${status.node} in ${status.zone}, ${
      status.isReady ? "ready" : "not ready"
    }${status.isDraining ? ", draining" : ""}${
      status.isDutyHolder ? ", holds the duties" : ""
    }, ${status.requestsRunning} requests running`,
    `${configuration}, ${formatAge(status.configurationAgeMs)}`,
    `replicas ${formatAge(status.replicasAgeMs)}`,
  ].join("\n");
}
