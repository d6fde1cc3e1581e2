/**
 * One request inside a stand-in engine: its input as a hash chain of blocks,
 * what is still to be computed, and its output.
 */

import type { Hasher } from "@almondcrank/common/hashing.ts";
import type {
  EngineUsage,
  GenerateEvent,
  GenerateRequest,
} from "@almondcrank/endpoint/engine.ts";
import {
  blockTokens,
  computeBlockHashes,
  splitTokens,
} from "@almondcrank/endpoint/tokens.ts";
import { TokenSource } from "./expected_tokens.ts";

/** Receives the event lines of one generation. */
export interface GenerationSink {
  write(lines: string): void;
  /** Sends the last lines and ends the answer. */
  end(lines: string): void;
  /** Sends lines, then cuts the connection. */
  cut(lines: string): void;
}

/** Times of a generation on the monotonic clock, in milliseconds. */
export interface GenerationTimes {
  arrivedAt: number;
  startedAt: number | undefined;
  firstTokenAt: number | undefined;
}

/** A queued or running request. */
export class Generation {
  readonly request: GenerateRequest;
  readonly sink: GenerationSink;
  readonly times: GenerationTimes;
  /** Blocks of the input; output appends to it as blocks fill. */
  readonly blockHashes: number[];
  readonly promptTokens: number;
  readonly inputTokens: number;
  cachedTokens = 0;
  /** Input tokens computed so far. */
  computedTokens = 0;
  /** Blocks of the chain pinned in the cache so far. */
  pinnedBlockCount = 0;
  /** Event lines not yet handed to the sink. */
  pendingLines = "";
  hasEnded = false;
  readonly #hasher: Hasher;
  readonly #source: TokenSource;
  /** White space between prompt and output, as a later prompt would hold it. */
  readonly #joint: string;
  #partial: string[];
  #next: number;

  private constructor(
    request: GenerateRequest,
    sink: GenerationSink,
    options: { readonly hasher: Hasher; readonly now: number },
  ) {
    this.request = request;
    this.sink = sink;
    this.#hasher = options.hasher;
    this.#source = TokenSource.create(options.hasher, request);
    this.#joint = /\s+$/.exec(request.prompt)?.[0] ?? " ";
    this.times = {
      arrivedAt: options.now,
      startedAt: undefined,
      firstTokenAt: undefined,
    };
    const prompt = splitTokens(request.prompt);
    const output = request.tokensSoFar.map((text, index) =>
      this.#formatContext(text, index)
    );
    const input = [...prompt, ...output];
    this.promptTokens = prompt.length;
    this.inputTokens = input.length;
    this.blockHashes = [...computeBlockHashes(options.hasher, input)];
    this.#partial = input.slice(this.blockHashes.length * blockTokens);
    this.#next = request.tokensSoFar.length;
  }

  static create(
    request: GenerateRequest,
    sink: GenerationSink,
    options: { readonly hasher: Hasher; readonly now: number },
  ): Generation {
    return new Generation(request, sink, options);
  }

  get prefillTokensLeft(): number {
    return this.inputTokens - this.cachedTokens - this.computedTokens;
  }

  /** Output tokens made by this attempt. */
  get outputTokens(): number {
    return this.#next - this.request.tokensSoFar.length;
  }

  /** Tokens whose KV cache is in memory. */
  get kvTokens(): number {
    return this.cachedTokens + this.computedTokens + this.outputTokens;
  }

  get isComplete(): boolean {
    return this.#next >= this.#source.length;
  }

  /** Makes the next output token; returns the block it filled, if any. */
  addToken(): number | undefined {
    const index = this.#next++;
    const text = this.#source.read(index);
    // Words of the vocabulary need no escaping.
    this.pendingLines += `{"kind":"token","index":${index},"text":"${text}"}\n`;
    this.#partial.push(this.#formatContext(text, index));
    if (this.#partial.length < blockTokens) return undefined;
    const previous = this.blockHashes.at(-1) ?? 0;
    const block = this.#hasher.hash32(this.#partial.join(""), previous);
    this.#partial = [];
    this.blockHashes.push(block);
    return block;
  }

  /** Adds the end event. */
  addEnd(isCancelled: boolean): void {
    const reason = isCancelled ? "cancelled" : this.#source.reason;
    const event: GenerateEvent = { kind: "end", reason, usage: this.usage };
    this.pendingLines += JSON.stringify(event) + "\n";
  }

  get usage(): EngineUsage {
    return {
      promptTokens: this.promptTokens,
      cachedTokens: this.cachedTokens,
      computedTokens: this.computedTokens,
      outputTokens: this.outputTokens,
    };
  }

  #formatContext(text: string, index: number): string {
    return index === 0 ? this.#joint + text : text;
  }
}
