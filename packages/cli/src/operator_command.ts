/**
 * Base of the commands that call a node: its address, the operators' key, and the
 * mapping of failures to exit codes.
 */

import { Command, Option } from "clipanion";
import { type ExitCode, exitCodes } from "./exit_codes.ts";
import {
  OperatorClient,
  type OperatorError,
  type OperatorErrorDetail,
} from "./operator_client.ts";

const defaultNode = "127.0.0.1:9000";

/** Command that calls the operators' listener of a node. */
export abstract class OperatorCommand extends Command {
  node = Option.String("--node", defaultNode, {
    description: "operators' address of any node",
  });
  keyFile = Option.String("--key-file", {
    description: "file with the operators' key; else ALMONDCRANK_OPERATOR_KEY",
  });
  json = Option.Boolean("--json", false, {
    description: "print JSON for programs",
  });

  /** Runs the command against a node. */
  protected abstract run(client: OperatorClient): Promise<ExitCode>;

  override async execute(): Promise<number> {
    const client = await OperatorClient.create({
      node: this.node,
      keyFile: this.keyFile,
    });
    return await client.caseOf({
      Left: (error) => Promise.resolve(this.writeError(error)),
      Right: (opened) => this.run(opened),
    });
  }

  /** Prints a value, as JSON with `--json`, else as `format` returns it. */
  protected write<T>(value: T, format: (value: T) => string): void {
    const text = this.json ? JSON.stringify(value) : format(value);
    this.context.stdout.write(`${text}\n`);
  }

  /** Prints a failure and returns its exit code. */
  protected writeError(error: OperatorError): ExitCode {
    if (this.json && error.detail.kind === "refused") {
      this.context.stdout.write(`${JSON.stringify(error.detail.body)}\n`);
    } else this.context.stderr.write(`${error.message}\n`);
    return findExitCode(error.detail);
  }
}

function findExitCode(detail: OperatorErrorDetail): ExitCode {
  switch (detail.kind) {
    case "bad_address":
    case "no_key":
    case "bad_key_file":
      return exitCodes.invalid;
    case "unreachable":
      return exitCodes.unreachable;
    case "refused":
      return findRefusalCode(detail.status, detail.body);
  }
}

function findRefusalCode(status: number, body: unknown): ExitCode {
  const kind = (body as { error?: { kind?: unknown } } | null)?.error?.kind;
  if (kind === "outcome_unknown") return exitCodes.unknown;
  if (status === 409) return exitCodes.conflict;
  if (status === 400 || status === 404) return exitCodes.invalid;
  return exitCodes.failed;
}
