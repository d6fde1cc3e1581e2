/**
 * Output of a stand-in engine, as a pure function of the request.
 *
 * The text of a token depends only on model, adapter, prompt and its index, and
 * the length only on model, adapter, prompt and `maxTokens`. A checker that
 * compares an answer with it detects missing, foreign and duplicate tokens.
 */

import type { Hasher } from "@almondcrank/common/hashing.ts";

const firstSyllables = "ba be bo bu da de do du ka ke ko ku la le lo lu".split(
  " ",
);
const lastSyllables =
  "man mel mir mon nas nel nim nor ras rel ril rum tan tem tis tol"
    .split(" ");

/** Words that output tokens consist of. */
export const vocabulary: readonly string[] = firstSyllables.flatMap((first) =>
  lastSyllables.map((last) => first + last)
);

const minOutputTokens = 8;
/** Number of different output lengths, before `maxTokens` applies. */
const outputLengthRange = 240;
/** Index for the hash of the length, beyond any index of a token. */
const lengthIndex = 0x7fff_ffff;

/** The fields of a request that determine its output. */
export interface GenerationInput {
  readonly model: string;
  readonly adapter?: string | undefined;
  readonly prompt: string;
  readonly maxTokens: number;
}

/** Whole output of a request, and why it ends. */
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
    const fullLength = minOutputTokens +
      computeIndexHash(key, lengthIndex) % outputLengthRange;
    this.length = Math.min(fullLength, maxTokens);
    this.reason = fullLength <= maxTokens ? "stop" : "length";
  }

  static create(hasher: Hasher, input: GenerationInput): TokenSource {
    const { model, adapter, prompt, maxTokens } = input;
    const key = hasher.hash32(`${model}\u0000${adapter ?? ""}\u0000${prompt}`);
    return new TokenSource(key, maxTokens);
  }

  /** Text of token `index`; all but the first begin with a space. */
  read(index: number): string {
    const word =
      vocabulary[computeIndexHash(this.#key, index) % vocabulary.length];
    return index === 0 ? word! : ` ${word}`;
  }
}

/** Computes the whole output of a request. */
export function computeExpectedTokens(
  hasher: Hasher,
  input: GenerationInput,
): ExpectedOutput {
  const source = TokenSource.create(hasher, input);
  const tokens = Array.from(
    { length: source.length },
    (_, i) => source.read(i),
  );
  return { tokens, reason: source.reason };
}

/** Hashes a key and an index to 32 bits. */
function computeIndexHash(key: number, index: number): number {
  let hash = (key ^ Math.imul(index + 1, 0x9e37_79b1)) >>> 0;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85eb_ca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2_ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
