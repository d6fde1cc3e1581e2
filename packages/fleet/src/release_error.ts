/**
 * Errors of checking and applying release notes.
 */

import type { FileError } from "@almondcrank/common/jsonc_file.ts";
import { KindError } from "@almondcrank/common/kind_error.ts";
import type { PlatformError } from "@almondcrank/infrastructure/platform_error.ts";

/** Cause of a release error. */
export type ReleaseErrorDetail =
  /** The note has errors; no part of it is applied. */
  | { readonly kind: "invalid_note"; readonly cause: FileError }
  /** The configuration changed after the base revision. */
  | {
    readonly kind: "conflict";
    readonly base: number;
    readonly current: number;
    /** Changes after the base revision as text, oldest first. */
    readonly changes: readonly string[];
    /** Whether changes older than those listed may be missing. */
    readonly isPartial: boolean;
  }
  /** The configuration would exceed the object API's size limit. */
  | {
    readonly kind: "too_large";
    readonly bytes: number;
    readonly limitBytes: number;
  }
  /** The answer was lost, and the outcome was not resolved in time. */
  | { readonly kind: "outcome_unknown"; readonly writeId: string }
  /** The object store failed before this call wrote anything. */
  | { readonly kind: "platform"; readonly cause: PlatformError };

/** A release note that was not applied, or whose outcome is unknown. */
export class ReleaseError extends KindError<ReleaseErrorDetail> {
  static create(detail: ReleaseErrorDetail): ReleaseError {
    return new ReleaseError(detail, formatReleaseError(detail));
  }
}

function formatReleaseError(detail: ReleaseErrorDetail): string {
  switch (detail.kind) {
    case "invalid_note":
      return detail.cause.message;
    case "conflict": {
      const changes = detail.changes.length === 0
        ? "they are too old to be listed"
        : detail.changes.join("; ");
      return `the configuration went from revision ${detail.base} to ${detail.current} (${changes}); run diff again and apply to revision ${detail.current}`;
    }
    case "too_large":
      return `the configuration would take ${detail.bytes} bytes, which exceeds the limit of ${detail.limitBytes}; withdraw endpoints or services that are not needed`;
    case "outcome_unknown":
      return `the outcome of write ${detail.writeId} is unknown; apply again with the same write id, which cannot take effect twice`;
    case "platform":
      return `this call wrote nothing: ${detail.cause.message}`;
  }
}
