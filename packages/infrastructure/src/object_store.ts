/**
 * The platform's object API: a versioned key-value store with conditional
 * writes.
 *
 * Objects are JSON values with a version. Versions come from one sequence for
 * the whole store, so they order all writes. A write is conditional. When its
 * outcome is unknown, the writer reads the object back before it writes again.
 *
 * The store may come back from an older copy of itself: writes since that copy
 * are gone, its era rises by one, and its revisions are given out again. Clients
 * combine both in the versions that they return, so versions still order all
 * writes; see `store_version.ts`. VERSION below is the revision alone, and each
 * answer states the era in the header `object-api-era`.
 *
 * Wire format, HTTP with JSON:
 *
 *     GET    /objects/KEY                      200 StoredObject | 404
 *     GET    /objects?prefix=P                 200 ObjectList
 *     PUT    /objects/KEY  If-Match: VERSION | If-None-Match: *
 *                                              200 {version} | 409 {current: StoredObject|null}
 *     DELETE /objects/KEY  If-Match: VERSION   200 {version} | 409 | 404
 *     GET    /watch?prefix=P&since=V&waitMs=N  200 WatchBatch | 410 history gone, list again
 *
 * KEY is percent-encoded as one path segment. A PUT body is the bare JSON value
 * of at most one megabyte (413 beyond). The answer is 429 with `retry-after-ms`
 * when the call rate is exceeded, and 503 in an outage. A waiting watch counts
 * as a call.
 */

import type { Either } from "purify-ts";
import type { PlatformError } from "./platform_error.ts";

/** Largest value that the object API stores, in bytes of JSON. */
export const maxObjectBytes = 1_048_576;

/** One object at one version. */
export interface StoredObject {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
  /** What the system has written on the operators' object, if anything. */
  readonly status?: unknown;
}

/** All objects with a key prefix, as of `version` of the store or later. */
export interface ObjectList {
  /** Version up to which all changes are included; a watch goes on from it. */
  readonly version: number;
  /**
   * Version up to which some changes are included, for a list that was read in
   * parts; by default the same.
   */
  readonly endVersion?: number;
  readonly objects: readonly StoredObject[];
}

/** A write with the new object, or a removal with the version it created. */
export type ObjectChange =
  | { readonly kind: "written"; readonly object: StoredObject }
  | {
    readonly kind: "removed";
    readonly key: string;
    readonly version: number;
  };

/**
 * Changes after `since` up to `version`; empty when none came within the wait.
 */
export interface WatchBatch {
  readonly version: number;
  readonly changes: readonly ObjectChange[];
}

/** Precondition of a write: no object at the key, or one with that version. */
export type WriteCondition =
  | { readonly kind: "absent" }
  | { readonly kind: "version"; readonly version: number };

/** Outcome of a conditional write that was answered. */
export type WriteOutcome =
  | { readonly kind: "written"; readonly version: number }
  /**
   * The condition did not hold; `current` is undefined when nothing is stored.
   */
  | { readonly kind: "conflict"; readonly current: StoredObject | undefined };

/** Outcome of a watch call. */
export type WatchOutcome =
  | { readonly kind: "changes"; readonly batch: WatchBatch }
  /** The store no longer has the history since the given version. */
  | { readonly kind: "expired" };

/** Client of the object API. No method throws for a failed call. */
export interface ObjectStore {
  /**
   * Era of the latest answer. An answer of an earlier era counts as lost, so the
   * era of an answer is this one at the time it is received.
   */
  readonly era: number;
  /** Reads an object; undefined when there is none at the key. */
  read(
    key: string,
  ): Promise<Either<PlatformError, StoredObject | undefined>>;
  /** Lists the objects whose keys begin with `prefix`. */
  list(prefix: string): Promise<Either<PlatformError, ObjectList>>;
  /** Writes an object if `condition` holds. */
  write(
    key: string,
    value: unknown,
    condition: WriteCondition,
  ): Promise<Either<PlatformError, WriteOutcome>>;
  /** Removes an object if it still has `version`. */
  remove(
    key: string,
    version: number,
  ): Promise<Either<PlatformError, WriteOutcome>>;
  /**
   * Waits up to `waitMs` for changes to keys with `prefix` after version
   * `since`.
   */
  watch(
    prefix: string,
    since: number,
    waitMs: number,
  ): Promise<Either<PlatformError, WatchOutcome>>;
}
