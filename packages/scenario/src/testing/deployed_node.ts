/**
 * A node as a real process with the command of the deploy file and the memory of the
 * smallest machines.
 */

import { readFileSync } from "node:fs";
import type { ExampleConfigurationOptions } from "@almondcrank/standin/platform/example_configuration.ts";
import { formatNodeSettings } from "@almondcrank/standin/platform/node_settings.ts";
import { GatewayProcess } from "./gateway_process.ts";

/** Memory of the smallest machines, in bytes. */
export const memoryBytes = 200_000_000;
const bytesPerMb = 1_000_000;
const mib = 1_048_576;
/** Time in which a configuration is in force. */
const configureMs = 1_000;

/** Arguments of the command with which the platform starts a node. */
function readCommand(): readonly string[] {
  const text = readFileSync("deploy/system.toml", "utf8");
  const run = /^run = "node ([^"]+)"/m.exec(text)?.[1];
  if (run === undefined) throw new Error("the deploy file names no command");
  return run.split(" ");
}

/** Runs a test against a node with a configuration. */
export async function runWithDeployedNode(
  change: ExampleConfigurationOptions,
  run: (node: GatewayProcess) => Promise<void>,
): Promise<void> {
  const node = await GatewayProcess.open();
  try {
    const memoryMb = memoryBytes / bytesPerMb;
    node.writeSettings(
      formatNodeSettings(node.place, { isFirstStart: true, memoryMb }),
    );
    node.start(readCommand());
    await node.waitUntilServing();
    node.configure(change);
    await new Promise((resolve) => setTimeout(resolve, configureMs));
    await run(node);
  } finally {
    await node.close();
  }
}

/** Memory that a node had at its peak, in bytes. */
export function readPeakBytes(node: GatewayProcess): number {
  return node.readMemory().peak * mib;
}
