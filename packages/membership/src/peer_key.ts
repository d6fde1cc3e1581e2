/**
 * Proof of the shared key on calls between peers.
 *
 * The key itself never goes over the wire: a call carries a keyed hash of a
 * fixed text. The comparison takes constant time.
 */

import { createHmac, timingSafeEqual } from "node:crypto";

const proofText = "almondcrank peer 1";
const proofBytes = 18;
const scheme = "Bearer ";

/** Computes the authorization header of calls to peers. */
export function computePeerProof(key: string): string {
  const digest = createHmac("sha256", key).update(proofText).digest();
  return scheme + digest.subarray(0, proofBytes).toString("base64url");
}

/** Whether `header` proves the shared key. */
export function isPeerProof(key: string, header: string | undefined): boolean {
  const expected = Buffer.from(computeCachedProof(key));
  const given = Buffer.from(header ?? "");
  return given.length === expected.length && timingSafeEqual(given, expected);
}

let cachedKey: string | undefined;
let cachedProof = "";

/** Saves a hash per call: a process has one key. */
function computeCachedProof(key: string): string {
  if (cachedKey !== key) {
    cachedKey = key;
    cachedProof = computePeerProof(key);
  }
  return cachedProof;
}
