/**
 * Helpers for tests of gateway nodes.
 */

import { GatewaySetup, type GatewaySetupOptions } from "./gateway_setup.ts";

/**
 * Formats the events with ids `from` to `to` as the replicas' stand-in sends
 * them.
 */
export function formatEvents(from: number, to: number): string {
  let text = "";
  for (let id = from; id <= to; id += 1) {
    text += `id: ${id}\ndata: token ${id}\n\n`;
  }
  return text;
}

/**
 * Runs a test against a new system with `nodes` nodes and closes it afterwards.
 */
export async function runWithSetup(
  nodes: number,
  run: (setup: GatewaySetup) => Promise<void>,
  options: GatewaySetupOptions = {},
): Promise<void> {
  const setup = await GatewaySetup.open(nodes, options);
  try {
    await run(setup);
  } finally {
    await setup.close();
  }
}

/** Counts how often all replicas together ran the request `id`. */
export function countRuns(setup: GatewaySetup, id: string): number {
  return [...setup.replicas.values()]
    .flatMap((replica) => replica.runs)
    .filter((run) => run.id === id).length;
}
