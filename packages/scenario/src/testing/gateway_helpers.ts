/**
 * Checks that tests of the routes interface share.
 */

import { GatewaySetup } from "./gateway_setup.ts";

/** Text of the events `from` to `to`. */
export function formatEvents(from: number, to: number): string {
  let text = "";
  for (let id = from; id <= to; id += 1) {
    text += `id: ${id}\ndata: token ${id}\n\n`;
  }
  return text;
}

/** Runs a test on a system of its own. */
export async function runWithSetup(
  nodes: number,
  run: (setup: GatewaySetup) => Promise<void>,
): Promise<void> {
  const setup = await GatewaySetup.open(nodes);
  try {
    await run(setup);
  } finally {
    await setup.close();
  }
}

/** Runs of one request at all replicas. */
export function countRuns(setup: GatewaySetup, id: string): number {
  return [...setup.replicas.values()]
    .flatMap((replica) => replica.runs)
    .filter((run) => run.id === id).length;
}
