/**
 * Parses release notes.
 *
 * A note is JSON with comments. Every error is reported with its file, line,
 * column and key and how to correct it. A note with any error is refused whole.
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

/** A valid note, with the means to report errors found later at their position. */
export interface ParsedNote {
  /** Name of the file in error messages. */
  readonly file: string;
  readonly note: ReleaseNote;
  /** Creates an error message with the position of a value. */
  readonly createFault: CheckedFile<ReleaseNote>["createFault"];
}

/**
 * Parses the text of a note.
 *
 * @param file Name of the file in error messages.
 * @returns The note, or an `invalid_note` error with all errors found.
 */
export function parseReleaseNote(
  text: string,
  file: string,
): Either<ReleaseError, ParsedNote> {
  return parseJsoncFile({ file, text, schema: releaseNoteSchema })
    .bimap(
      (cause) => ReleaseError.create({ kind: "invalid_note", cause }),
      ({ value, createFault }) => ({ file, note: value, createFault }),
    );
}

/** Creates an `invalid_note` error that lists `faults`. */
export function createInvalidNote(
  { file }: ParsedNote,
  faults: readonly FileFault[],
): ReleaseError {
  const cause = FileError.create(file, faults);
  return ReleaseError.create({ kind: "invalid_note", cause });
}
