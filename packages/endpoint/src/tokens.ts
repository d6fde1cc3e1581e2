/**
 * Tokens and the hash chain over blocks of them.
 *
 * A block's hash covers the block and everything before it, so two prompts
 * share a block's hash exactly when they share the whole prefix up to its end.
 */

import type { Hasher } from "@almondcrank/common/hashing.ts";

/** Tokens in one cache block. */
export const blockTokens = 16;

const tokenPattern = /\s*\S+/g;

/** Cuts text into words with their leading white space. */
export function splitTokens(text: string): readonly string[] {
  return text.match(tokenPattern) ?? [];
}

/** Computes the hash chain of the full blocks of a token sequence. */
export function computeBlockHashes(
  hasher: Hasher,
  tokens: readonly string[],
): readonly number[] {
  const hashes: number[] = [];
  let previous = 0;
  for (let end = blockTokens; end <= tokens.length; end += blockTokens) {
    const block = tokens.slice(end - blockTokens, end).join("");
    previous = hasher.hash32(block, previous);
    hashes.push(previous);
  }
  return hashes;
}
