/**
 * Text of a release note with the positions of its keys.
 */

import {
  findNodeAtLocation,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";

/** Path of keys and indices from the root of a note. */
export type NotePath = readonly (string | number)[];

/** One fault of a note; the message names the remedy. */
export interface NoteFault {
  readonly file: string;
  /** Counted from 1. */
  readonly line: number;
  /** Counted from 1. */
  readonly column: number;
  /** Key path such as `add.teams[0].priority`; empty for the whole note. */
  readonly key: string;
  readonly message: string;
}

/** A note's text, parsed as JSON with comments. */
export class NoteSource {
  readonly file: string;
  readonly #text: string;
  readonly #root: Node | undefined;
  readonly #syntaxErrors: readonly ParseError[];

  private constructor(file: string, text: string) {
    const errors: ParseError[] = [];
    this.file = file;
    this.#text = text;
    this.#root = parseTree(text, errors, {
      allowTrailingComma: true,
      disallowComments: false,
    });
    this.#syntaxErrors = errors;
  }

  static create(file: string, text: string): NoteSource {
    return new NoteSource(file, text);
  }

  /** Lists faults of syntax and keys that stand twice in one object. */
  listSyntaxFaults(): NoteFault[] {
    const faults = this.#syntaxErrors.map(({ error, offset }) =>
      this.#createFault(offset, {
        path: [],
        message: `is not JSON with comments (${
          printParseErrorCode(error)
        }); correct the syntax here`,
      })
    );
    if (faults.length === 0 && this.#root !== undefined) {
      this.#addDuplicates(this.#root, [], faults);
    }
    return faults;
  }

  /** Creates a fault at a path, or at its nearest ancestor in the text. */
  createFault(path: NotePath, message: string): NoteFault {
    return this.#createFault(this.#findOffset(path), { path, message });
  }

  /** Value of the whole note. */
  get value(): unknown {
    return this.#root === undefined ? undefined : readNode(this.#root);
  }

  #findOffset(path: NotePath): number {
    if (this.#root === undefined) return 0;
    for (let length = path.length; length >= 0; length--) {
      const node = findNodeAtLocation(this.#root, path.slice(0, length));
      if (node === undefined) continue;
      const property = node.parent?.type === "property" ? node.parent : node;
      return property.offset;
    }
    return 0;
  }

  #createFault(
    offset: number,
    { path, message }: { readonly path: NotePath; readonly message: string },
  ): NoteFault {
    const before = this.#text.slice(0, offset).split("\n");
    return {
      file: this.file,
      line: before.length,
      column: (before.at(-1) ?? "").length + 1,
      key: formatPath(path),
      message,
    };
  }

  #addDuplicates(node: Node, path: NotePath, faults: NoteFault[]): void {
    const seen = new Set<string>();
    (node.children ?? []).forEach((child, index) => {
      if (child.type !== "property") {
        this.#addDuplicates(child, [...path, index], faults);
        return;
      }
      const key = String(child.children?.[0]?.value);
      const message = "stands twice in one object; keep one";
      const childPath = [...path, key];
      if (seen.has(key)) {
        faults.push(
          this.#createFault(child.offset, { path: childPath, message }),
        );
      }
      seen.add(key);
      const value = child.children?.[1];
      if (value !== undefined) this.#addDuplicates(value, childPath, faults);
    });
  }
}

/** Formats a path as `add.teams[0].priority`. */
export function formatPath(path: NotePath): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === "number") return `${text}[${part}]`;
    return text === "" ? part : `${text}.${part}`;
  }, "");
}

/** Formats a fault as one line. */
export function formatFault(fault: NoteFault): string {
  const { file, line, column, key, message } = fault;
  const subject = key === "" ? "the note" : key;
  return `${file}:${line}:${column}: ${subject} ${message}`;
}

function readNode(node: Node): unknown {
  switch (node.type) {
    case "object":
      return Object.fromEntries(
        (node.children ?? []).map(({ children = [] }) => [
          String(children[0]?.value),
          children[1] === undefined ? undefined : readNode(children[1]),
        ]),
      );
    case "array":
      return (node.children ?? []).map(readNode);
    default:
      return node.value;
  }
}
