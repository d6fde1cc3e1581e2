/**
 * Authentication of calls between peers by their shared key.
 *
 * The key itself is never sent: a call carries an HMAC of a fixed text. The
 * comparison takes constant time.
 */

import { createHmac, timingSafeEqual } from "node:crypto";

const proofText = "almondcrank peer 1";
const proofBytes = 18;
const scheme = "Bearer ";

/** Computes the authorization header that proves the shared key. */
export function computePeerProof(key: string): string {
  const digest = createHmac("sha256", key).update(proofText).digest();
  return scheme + digest.subarray(0, proofBytes).toString("base64url");
}

/** Whether an authorization header proves the shared key. */
export function isPeerProof(key: string, header: string | undefined): boolean {
  const expected = Buffer.from(computeCachedProof(key));
  const given = Buffer.from(header ?? "");
  return given.length === expected.length && timingSafeEqual(given, expected);
}

let cachedKey: string | undefined;
let cachedProof = "";

/** Avoids an HMAC per call. One entry is enough: a process has one key. */
function computeCachedProof(key: string): string {
  if (cachedKey !== key) {
    cachedKey = key;
    cachedProof = computePeerProof(key);
  }
  return cachedProof;
}
