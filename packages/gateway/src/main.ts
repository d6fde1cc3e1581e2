/**
 * Entry point of a gateway node on the platform.
 *
 * It is separate from the operators' program so that a node loads as little code
 * as possible at its start. The launcher calls `start` with the signals that came
 * while this was loaded.
 */

import { runGatewayProgram } from "./gateway_program.ts";

/** Starts the node; handles all signals once it returns. */
export function start(early: readonly string[]): void {
  void runGatewayProgram(early);
}
