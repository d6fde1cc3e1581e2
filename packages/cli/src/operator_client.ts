/**
 * HTTP client of a node's operators' listener.
 */

import { readFile } from "node:fs/promises";
import process from "node:process";
import { type Either, Left, Right } from "purify-ts";
import { request } from "undici";
import { formatThrown, KindError } from "@almondcrank/common/kind_error.ts";
import { parseAddress } from "@almondcrank/common/address.ts";

const defaultTimeoutMs = 15_000;

/** Kinds of failures and what each says about the call. */
export type OperatorErrorDetail =
  | { readonly kind: "bad_address"; readonly node: string }
  | { readonly kind: "no_key" }
  | { readonly kind: "bad_key_file"; readonly reason: string }
  | {
    readonly kind: "unreachable";
    readonly node: string;
    readonly reason: string;
  }
  | {
    readonly kind: "refused";
    readonly status: number;
    readonly body: unknown;
  };

/** Failure of a call to a node. */
export class OperatorError extends KindError<OperatorErrorDetail> {
  static create(detail: OperatorErrorDetail): OperatorError {
    return new OperatorError(detail, formatOperatorError(detail));
  }
}

function formatOperatorError(detail: OperatorErrorDetail): string {
  switch (detail.kind) {
    case "bad_address":
      return `"${detail.node}" is not an IP address with a port; pass --node like 127.0.0.1:9000`;
    case "no_key":
      return "no operators' key; set ALMONDCRANK_OPERATOR_KEY or pass --key-file";
    case "bad_key_file":
      return `operators' key cannot be read (${detail.reason}); pass --key-file with a file that can`;
    case "unreachable":
      return `node ${detail.node} does not answer (${detail.reason}); try another node`;
    case "refused":
      return formatRefusalBody(detail.status, detail.body);
  }
}

function formatRefusalBody(status: number, body: unknown): string {
  const error = (body as { error?: { message?: unknown } } | null)?.error;
  return typeof error?.message === "string"
    ? error.message
    : `node answered with status ${status}; look at its log`;
}

/** Where to find a node and the key for it. */
export interface OperatorClientOptions {
  /** Address of its operators' listener. */
  readonly node: string;
  /** File with the operators' key; without it the environment is read. */
  readonly keyFile?: string | undefined;
}

/** Calls the operators' listener of one node. */
export class OperatorClient {
  readonly #node: string;
  readonly #key: string;

  private constructor(node: string, key: string) {
    this.#node = node;
    this.#key = key;
  }

  /** Checks the address and reads the key; nothing is sent yet. */
  static async create(
    options: OperatorClientOptions,
  ): Promise<Either<OperatorError, OperatorClient>> {
    const { node, keyFile } = options;
    if (parseAddress(node) === undefined) {
      return Left(OperatorError.create({ kind: "bad_address", node }));
    }
    const read = await readKey(keyFile);
    if (read.isLeft()) return Left(read.extract() as OperatorError);
    const key = read.extract() as string | undefined;
    if (key === undefined || key === "") {
      return Left(OperatorError.create({ kind: "no_key" }));
    }
    return Right(new OperatorClient(node, key));
  }

  /** Reads the resource at a path with GET. */
  read(path: string): Promise<Either<OperatorError, unknown>> {
    return this.#call("GET", path);
  }

  /** Sends a command to a path with POST. */
  send(path: string, body: unknown): Promise<Either<OperatorError, unknown>> {
    return this.#call("POST", path, body);
  }

  async #call(
    method: "GET" | "POST",
    path: string,
    body?: unknown,
  ): Promise<Either<OperatorError, unknown>> {
    try {
      const answer = await request(`http://${this.#node}${path}`, {
        method,
        headers: {
          authorization: `Bearer ${this.#key}`,
          "content-type": "application/json",
        },
        body: body === undefined ? null : JSON.stringify(body),
        headersTimeout: defaultTimeoutMs,
        bodyTimeout: defaultTimeoutMs,
      });
      const value: unknown = JSON.parse(await answer.body.text());
      if (answer.statusCode < 300) return Right(value);
      return Left(OperatorError.create({
        kind: "refused",
        status: answer.statusCode,
        body: value,
      }));
    } catch (thrown) {
      return Left(OperatorError.create({
        kind: "unreachable",
        node: this.#node,
        reason: formatThrown(thrown),
      }));
    }
  }
}

/** Reads the operators' key from its file, else from the environment. */
async function readKey(
  keyFile: string | undefined,
): Promise<Either<OperatorError, string | undefined>> {
  if (keyFile === undefined) {
    return Right(process.env["ALMONDCRANK_OPERATOR_KEY"]);
  }
  try {
    return Right((await readFile(keyFile, "utf8")).trim());
  } catch (thrown) {
    const reason = formatThrown(thrown);
    return Left(OperatorError.create({ kind: "bad_key_file", reason }));
  }
}
