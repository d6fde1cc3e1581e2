/**
 * Entry point of the `almondcrank` program.
 */

import process from "node:process";
import { Builtins, Cli } from "clipanion";
import { CheckCommand } from "./check_command.ts";
import { DemoCommand } from "./demo_command.ts";
import { DemoRoutesCommand } from "./demo_routes_command.ts";
import { ExplainCommand } from "./explain_command.ts";
import { GatewayStatusCommand, GatewayTopCommand } from "./gateway_commands.ts";
import { LoadCommand } from "./load_command.ts";
import { LoadRoutesCommand } from "./load_routes_command.ts";
import { ApplyCommand, DiffCommand } from "./release_commands.ts";
import { ServeCommand, ServeGatewayCommand } from "./serve_command.ts";
import { DrainCommand, StatusCommand, TopCommand } from "./status_commands.ts";

const cli = new Cli({
  binaryLabel: "almondcrank",
  binaryName: "almondcrank",
  binaryVersion: "0.1.0",
});
for (
  const command of [
    ServeCommand,
    ServeGatewayCommand,
    CheckCommand,
    DiffCommand,
    ApplyCommand,
    StatusCommand,
    TopCommand,
    DrainCommand,
    ExplainCommand,
    GatewayStatusCommand,
    GatewayTopCommand,
    LoadCommand,
    LoadRoutesCommand,
    DemoCommand,
    DemoRoutesCommand,
    Builtins.HelpCommand,
    Builtins.VersionCommand,
  ]
) {
  cli.register(command);
}
void cli.runExit(process.argv.slice(2), Cli.defaultContext);
