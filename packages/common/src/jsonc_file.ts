/**
 * Files in JSON with comments, checked against a schema.
 *
 * Every fault is reported with its file, line, column, key and remedy, all of
 * them at once, so that one correction round is enough.
 */

import {
  findNodeAtLocation,
  getNodeValue,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import { KindError } from "./kind_error.ts";

/** One fault at a place in a file; line and column count from 1. */
export interface FileFault {
  readonly line: number;
  readonly column: number;
  /** Path of the key, such as `endpoints[3].zone`; empty for the whole file. */
  readonly key: string;
  readonly message: string;
}

/** All faults of one file. */
export interface FileErrorDetail {
  readonly kind: "invalid_file";
  readonly file: string;
  readonly faults: readonly FileFault[];
}

/** A file that cannot be used. The message has one line per fault. */
export class FileError extends KindError<FileErrorDetail> {
  static create(file: string, faults: readonly FileFault[]): FileError {
    const lines = faults.map((fault) => formatFault(file, fault));
    return new FileError(
      { kind: "invalid_file", file, faults },
      lines.join("\n"),
    );
  }
}

function formatFault(file: string, fault: FileFault): string {
  const key = fault.key === "" ? "" : ` ${fault.key}:`;
  return `${file}:${fault.line}:${fault.column}:${key} ${fault.message}`;
}

/** Path to a value inside a JSON document. */
export type JsonPath = readonly (string | number)[];

/** A checked document that can locate its values for later checks. */
export interface CheckedFile<T> {
  readonly value: T;
  /** Fault at the value with `path`, or at its nearest parent. */
  createFault(path: JsonPath, message: string): FileFault;
}

/** Options of `parseJsoncFile`. */
export interface JsoncSource<T> {
  /** Name for messages. */
  readonly file: string;
  readonly text: string;
  readonly schema: z.ZodType<T>;
}

/** Parses and checks a file. */
export function parseJsoncFile<T>(
  source: JsoncSource<T>,
): Either<FileError, CheckedFile<T>> {
  const { file, text, schema } = source;
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  const createFault = createLocator(text, root);
  if (errors.length > 0 || root === undefined) {
    return Left(FileError.create(file, listSyntaxFaults(text, errors)));
  }
  const repeated = listRepeatedKeys(root, [], text);
  if (repeated.length > 0) return Left(FileError.create(file, repeated));
  const result = schema.safeParse(getNodeValue(root));
  if (result.success) {
    return Right({ value: result.data, createFault: createFault });
  }
  const faults = result.error.issues.flatMap((issue) =>
    listIssueFaults(issue, createFault)
  );
  return Left(FileError.create(file, faults));
}

function listSyntaxFaults(
  text: string,
  errors: readonly ParseError[],
): readonly FileFault[] {
  if (errors.length === 0) {
    return [{
      line: 1,
      column: 1,
      key: "",
      message: "file is empty; write an object",
    }];
  }
  return errors.map((error) => ({
    ...computePosition(text, error.offset),
    key: "",
    message: `${printParseErrorCode(error.error)}; correct the JSON here`,
  }));
}

function listRepeatedKeys(
  node: Node,
  path: JsonPath,
  text: string,
): FileFault[] {
  const faults: FileFault[] = [];
  const seen = new Set<string>();
  for (const [index, child] of (node.children ?? []).entries()) {
    if (node.type === "array") {
      faults.push(...listRepeatedKeys(child, [...path, index], text));
      continue;
    }
    const [name, value] = child.children ?? [];
    const key = String(name?.value);
    const place = [...path, key];
    if (seen.has(key)) {
      faults.push({
        ...computePosition(text, child.offset),
        key: formatPath(place),
        message: "stands twice; remove one of them",
      });
    }
    seen.add(key);
    if (value !== undefined) {
      faults.push(...listRepeatedKeys(value, place, text));
    }
  }
  return faults;
}

function listIssueFaults(
  issue: z.core.$ZodIssue,
  locate: CheckedFile<unknown>["createFault"],
): readonly FileFault[] {
  const path = issue.path.filter((step) => typeof step !== "symbol");
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) =>
      locate(
        [...path, key],
        "is not a known key; remove it or correct its name",
      )
    );
  }
  return [locate(path, `${issue.message}; correct the value`)];
}

function createLocator(
  text: string,
  root: Node | undefined,
): CheckedFile<unknown>["createFault"] {
  return (path, message) => {
    const offset = root === undefined ? 0 : findOffset(root, path);
    return { ...computePosition(text, offset), key: formatPath(path), message };
  };
}

/** Offset of the value at `path`, or of the nearest parent that exists. */
function findOffset(root: Node, path: JsonPath): number {
  for (let length = path.length; length >= 0; length--) {
    const node = findNodeAtLocation(root, path.slice(0, length));
    if (node !== undefined) return node.offset;
  }
  return root.offset;
}

function formatPath(path: JsonPath): string {
  let text = "";
  for (const step of path) {
    if (typeof step === "number") text += `[${step}]`;
    else text += text === "" ? step : `.${step}`;
  }
  return text;
}

function computePosition(
  text: string,
  offset: number,
): { readonly line: number; readonly column: number } {
  const before = text.slice(0, offset);
  const line = before.split("\n").length;
  return { line, column: offset - before.lastIndexOf("\n") };
}
