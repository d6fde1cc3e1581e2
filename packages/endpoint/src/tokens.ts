/**
 * Tokens, and the hashes of blocks of them.
 *
 * A block's hash covers the block and all blocks before it, so two prompts have a
 * block hash in common exactly when they share the whole prefix up to its end.
 */

import type { Hasher } from "@almondcrank/common/hashing.ts";

/** Number of tokens in one cache block. */
export const blockTokens = 16;

const tokenPattern = /\s*\S+/g;

/** Splits text into words, each with its leading white space. */
export function splitTokens(text: string): readonly string[] {
  return text.match(tokenPattern) ?? [];
}

/** Computes the hashes of the full blocks; a partial last block is left out. */
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
