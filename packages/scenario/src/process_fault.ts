/**
 * Faults of a node's process.
 */

import type { RunningFleet } from "./running_fleet.ts";
import type { ProcessFault } from "./step.ts";

/** Brings a fault about; a string says what did not hold. */
export async function applyProcessFault(
  fleet: RunningFleet,
  { node, fault }: { readonly node: number; readonly fault: ProcessFault },
): Promise<string | void> {
  switch (fault) {
    case "kill":
      return await fleet.killNode(node);
    case "freeze":
      return fleet.findProcess(node).signal("SIGSTOP");
    case "thaw":
      return fleet.findProcess(node).signal("SIGCONT");
    case "start":
      return await fleet.startNode(node);
    case "stop": {
      const code = await fleet.stopNode(node);
      return code === 0 ? undefined : `the process ended with ${code}`;
    }
  }
}
