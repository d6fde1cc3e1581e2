/**
 * Generates the texts of conversations; a seed gives always the same texts.
 */

import { Random } from "@almondcrank/common/random.ts";

const discardedNumbers = 64;
const systemTokens = [400, 800] as const;

/**
 * Creates a random number generator. The first numbers of neighbouring seeds are
 * similar, so they are discarded.
 */
export function createRandom(seed: number): Random {
  const random = Random.create(seed);
  for (let i = 0; i < discardedNumbers; i++) random.next();
  return random;
}

/** Chooses an integer from `low` up to, not including, `high`. */
export function chooseInteger(
  random: Random,
  [low, high]: readonly [number, number],
): number {
  return low + random.nextInt(high - low);
}

/** Formats `count` words that contain `name`, each after a space. */
export function formatWords(count: number, name: string): string {
  let words = "";
  for (let i = 0; i < count; i++) words += ` ${name}w${i}`;
  return words;
}

/** Formats the system prompt with this number; equal numbers give equal texts. */
export function formatSystemPrompt(number: number): string {
  const length = chooseInteger(createRandom(number + 1), systemTokens);
  return formatWords(length, `s${number}`);
}
