/**
 * Texts of conversations, drawn from a seed.
 */

import { Random } from "@almondcrank/common/random.ts";

const droppedNumbers = 64;
const systemTokens = [400, 800] as const;

/** The first numbers of neighbouring seeds are alike, so they are dropped. */
export function createRandom(seed: number): Random {
  const random = Random.create(seed);
  for (let i = 0; i < droppedNumbers; i++) random.next();
  return random;
}

/** Draws a whole number from `low` up to, not including, `high`. */
export function chooseInteger(
  random: Random,
  [low, high]: readonly [number, number],
): number {
  return low + random.nextInt(high - low);
}

/** Formats `count` words that no other name has. */
export function formatWords(count: number, name: string): string {
  let words = "";
  for (let i = 0; i < count; i++) words += ` ${name}w${i}`;
  return words;
}

/** Formats a system prompt, always the same for its number. */
export function formatSystemPrompt(number: number): string {
  const length = chooseInteger(createRandom(number + 1), systemTokens);
  return formatWords(length, `s${number}`);
}
