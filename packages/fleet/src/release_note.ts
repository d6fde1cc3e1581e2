/**
 * Parses release notes.
 *
 * A note is JSON with comments. Every fault is reported with file, line, column,
 * key and remedy, and a note with any fault is refused whole.
 */

import { type Either, Left, Right } from "purify-ts";
import type { z } from "zod";
import { type NoteFault, NoteSource } from "./note_source.ts";
import { ReleaseError } from "./release_error.ts";
import { type ReleaseNote, releaseNoteSchema } from "./release_note_schema.ts";

/** A note together with its text, for the positions of later faults. */
export interface ParsedNote {
  readonly note: ReleaseNote;
  readonly source: NoteSource;
}

/** Parses the text of a note; `file` names it in faults. */
export function parseReleaseNote(
  text: string,
  file: string,
): Either<ReleaseError, ParsedNote> {
  const source = NoteSource.create(file, text);
  const syntaxFaults = source.listSyntaxFaults();
  if (syntaxFaults.length > 0) return Left(createInvalid(syntaxFaults));
  const parsed = releaseNoteSchema.safeParse(source.value);
  if (parsed.success) return Right({ note: parsed.data, source });
  const faults = parsed.error.issues.flatMap((issue) =>
    listIssueFaults(source, issue)
  );
  return Left(createInvalid(faults));
}

/** Creates the error of a note with faults. */
export function createInvalid(faults: readonly NoteFault[]): ReleaseError {
  return ReleaseError.create({ kind: "invalid_note", faults });
}

function listIssueFaults(
  source: NoteSource,
  issue: z.core.$ZodIssue,
): NoteFault[] {
  const path = issue.path.map((part) =>
    typeof part === "number" ? part : String(part)
  );
  switch (issue.code) {
    case "unrecognized_keys":
      return issue.keys.map((key) =>
        source.createFault(
          [...path, key],
          "is not a known key; remove it or correct its spelling",
        )
      );
    case "invalid_union":
      return listUnionFaults(source, issue, path);
    case "invalid_type":
      return [source.createFault(path, formatTypeFault(issue))];
    default:
      return [source.createFault(path, `${issue.message}; correct the value`)];
  }
}

/** Reports the branch of a union that comes closest. */
function listUnionFaults(
  source: NoteSource,
  issue: z.core.$ZodIssueInvalidUnion,
  path: (string | number)[],
): NoteFault[] {
  const branches = issue.errors.filter((branch) =>
    !branch.some((issue) => issue.path[0] === "kind")
  );
  const closest = branches[0];
  if (closest === undefined) {
    const message = 'must be "model" or "plain"; correct the kind';
    const kindPath = path.at(-1) === "kind" ? path : [...path, "kind"];
    return [source.createFault(kindPath, message)];
  }
  return closest.flatMap((inner) =>
    listIssueFaults(source, { ...inner, path: [...path, ...inner.path] })
  );
}

function formatTypeFault(issue: z.core.$ZodIssueInvalidType): string {
  return issue.input === undefined
    ? `must be a ${issue.expected}; set it`
    : `must be a ${issue.expected}; correct the value`;
}
