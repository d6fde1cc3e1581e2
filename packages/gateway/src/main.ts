/**
 * Program of a gateway node on the platform.
 *
 * Kept apart from the operators' program so that a node starts with as little
 * code as possible.
 */

import { runGatewayProgram } from "./gateway_program.ts";

void runGatewayProgram();
