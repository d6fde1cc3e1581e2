/**
 * Non-cryptographic hashes, hashes of keys, and rendezvous hashing.
 *
 * xxHash runs as WebAssembly. The module is compiled once by `openHasher`,
 * which is awaited at start-up; hashing is synchronous afterwards.
 */

import { createHash } from "node:crypto";
import xxhash from "xxhash-wasm";

/** Synchronous non-cryptographic hash functions. */
export interface Hasher {
  /** 32-bit hash of a string. */
  hash32(input: string, seed?: number): number;
  /** 64-bit hash of a string. */
  hash64(input: string, seed?: bigint): bigint;
  /** 64-bit hash of bytes. */
  hashBytes64(input: Uint8Array, seed?: bigint): bigint;
}

/** Compiles the WebAssembly module of the hash functions. */
export async function openHasher(): Promise<Hasher> {
  const { h32, h64, h64Raw } = await xxhash();
  return { hash32: h32, hash64: h64, hashBytes64: h64Raw };
}

/**
 * Hex SHA-256 of a bearer key, the form in which the configuration stores it.
 */
export function computeKeyHash(secret: string): string {
  return createHash("sha256").update(secret).digest("hex");
}

/**
 * Orders `names` by rendezvous hashing for `key`, highest weight first.
 *
 * Processes with the same names compute the same order. Adding or removing a
 * name moves only the keys for which that name comes first.
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
