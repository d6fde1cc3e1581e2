/**
 * The tokens a stand-in engine generates, as a pure function of the request.
 *
 * Token i depends on model, adapter, prompt and i alone, and so does the length,
 * so a missing, foreign or doubled token shows by comparison.
 */

import type { Hasher } from "@almondcrank/common/hashing.ts";

const firstSyllables = "ba be bo bu da de do du ka ke ko ku la le lo lu".split(
  " ",
);
const lastSyllables =
  "man mel mir mon nas nel nim nor ras rel ril rum tan tem tis tol"
    .split(" ");

/** Words of the stand-in engines. */
export const vocabulary: readonly string[] = firstSyllables.flatMap((first) =>
  lastSyllables.map((last) => first + last)
);

const shortestOutput = 8;
const lengthSpread = 240;
/** Separates the hash of a length from those of tokens. */
const lengthIndex = 0x7fff_ffff;

/** What decides the output of a request. */
export interface GenerationInput {
  readonly model: string;
  readonly adapter?: string | undefined;
  readonly prompt: string;
  readonly maxTokens: number;
}

/** Whole output of a request. */
export interface ExpectedOutput {
  readonly tokens: readonly string[];
  readonly reason: "stop" | "length";
}

/** Output of one request, token by token. */
export class TokenSource {
  /** Number of output tokens. */
  readonly length: number;
  readonly reason: "stop" | "length";
  readonly #key: number;

  private constructor(key: number, maxTokens: number) {
    this.#key = key;
    const natural = shortestOutput +
      computeMix(key, lengthIndex) % lengthSpread;
    this.length = Math.min(natural, maxTokens);
    this.reason = natural <= maxTokens ? "stop" : "length";
  }

  static create(hasher: Hasher, question: GenerationInput): TokenSource {
    const { model, adapter, prompt, maxTokens } = question;
    const key = hasher.hash32(`${model}\u0000${adapter ?? ""}\u0000${prompt}`);
    return new TokenSource(key, maxTokens);
  }

  /** Text of token `index`; all but the first begin with a space. */
  read(index: number): string {
    const word = vocabulary[computeMix(this.#key, index) % vocabulary.length];
    return index === 0 ? word! : ` ${word}`;
  }
}

/** Computes the whole output of a request. */
export function computeExpectedTokens(
  hasher: Hasher,
  question: GenerationInput,
): ExpectedOutput {
  const source = TokenSource.create(hasher, question);
  const tokens = Array.from(
    { length: source.length },
    (_, i) => source.read(i),
  );
  return { tokens, reason: source.reason };
}

/** Mixes a key with an index into 32 bits. */
function computeMix(key: number, index: number): number {
  let mixed = (key ^ Math.imul(index + 1, 0x9e37_79b1)) >>> 0;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85eb_ca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2_ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
