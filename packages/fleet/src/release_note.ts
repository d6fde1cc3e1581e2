/**
 * Parses release notes.
 *
 * A note is JSON with comments. Every fault is reported with file, line, column,
 * key and remedy, and a note with any fault is refused whole.
 */

import type { Either } from "purify-ts";
import {
  type CheckedFile,
  FileError,
  type FileFault,
  parseJsoncFile,
} from "@almondcrank/common/jsonc_file.ts";
import { ReleaseError } from "./release_error.ts";
import { type ReleaseNote, releaseNoteSchema } from "./release_note_schema.ts";

/** A note that can locate its values for the faults found later. */
export interface ParsedNote {
  readonly file: string;
  readonly note: ReleaseNote;
  readonly locate: CheckedFile<ReleaseNote>["createFault"];
}

/** Parses the text of a note; `file` names it in faults. */
export function parseReleaseNote(
  text: string,
  file: string,
): Either<ReleaseError, ParsedNote> {
  return parseJsoncFile({ file, text, schema: releaseNoteSchema })
    .bimap(
      (cause) => ReleaseError.create({ kind: "invalid_note", cause }),
      ({ value, createFault: locate }) => ({ file, note: value, locate }),
    );
}

/** Creates the error of a note with faults. */
export function createInvalidNote(
  { file }: ParsedNote,
  faults: readonly FileFault[],
): ReleaseError {
  const cause = FileError.create(file, faults);
  return ReleaseError.create({ kind: "invalid_note", cause });
}
