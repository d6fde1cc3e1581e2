/**
 * Fast non-cryptographic hashes and rendezvous choice.
 *
 * xxHash through WebAssembly; the module is compiled once, so callers wait for
 * `openHasher` at start-up and hash synchronously afterwards.
 */

import { createHash } from "node:crypto";
import xxhash from "xxhash-wasm";

/** Synchronous hash functions. */
export interface Hasher {
  /** 32-bit hash of a string. */
  hash32(input: string, seed?: number): number;
  /** 64-bit hash of a string. */
  hash64(input: string, seed?: bigint): bigint;
}

/** Compiles the hash module. */
export async function openHasher(): Promise<Hasher> {
  const { h32, h64 } = await xxhash();
  return { hash32: h32, hash64: h64 };
}

/** Hex SHA-256 of a secret, as configuration keeps it. */
export function computeKeyHash(secret: string): string {
  return createHash("sha256").update(secret).digest("hex");
}

/**
 * Orders `names` by rendezvous weight for `key`, highest first.
 *
 * All processes with the same names agree, and a name that comes or goes moves
 * only the keys it holds.
 */
export function computeRendezvousOrder(
  hasher: Hasher,
  key: string,
  names: readonly string[],
): string[] {
  return names
    .map((name) => ({ name, weight: hasher.hash32(`${key}\u0000${name}`) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map((entry) => entry.name);
}
