/**
 * Identity of a request as a whole, by which it is known when it comes again: a new
 * try of a caller has an id of its own, but the same caller, path and body.
 */

import type { Hasher } from "@almondcrank/common/hashing.ts";

/** What two tries of one request have in common. */
export interface FingerprintInput {
  /** Name of the tenant or team; undefined if the request has none. */
  readonly caller: string | undefined;
  readonly method: string;
  /** Path with its query, and the name of the host or service that it is at. */
  readonly host: string;
  readonly path: string;
  readonly body: Uint8Array;
}

/** Tells fingerprints from parts of prompts, which are kept beside them. */
const prefix = "request:";

/** Computes the fingerprint of a request. */
export function computeFingerprint(
  hasher: Hasher,
  { caller, method, host, path, body }: FingerprintInput,
): string {
  const head = JSON.stringify([caller, method, host, path]);
  const hash = hasher.hashBytes64(body, hasher.hash64(head));
  return `${prefix}${hash.toString(16)}`;
}

/** Whether a part in quarantine is the fingerprint of a request. */
export function isFingerprint(part: string): boolean {
  return part.startsWith(prefix);
}
