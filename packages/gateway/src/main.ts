/**
 * Entry point of a gateway node on the platform.
 *
 * It is separate from the operators' program so that a node loads as little code
 * as possible at its start.
 */

import { runGatewayProgram } from "./gateway_program.ts";

void runGatewayProgram();
