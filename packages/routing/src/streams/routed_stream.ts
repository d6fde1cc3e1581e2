/**
 * A stream that this node owns: its request, output, usage and readers.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Hasher } from "@almondcrank/common/hashing.ts";
import {
  blockTokens,
  computeBlockHashes,
  splitTokens,
} from "@almondcrank/endpoint/tokens.ts";
import {
  formatModelName,
  type ModelRequest,
  type ModelStream,
  type StreamEvent,
} from "../routers/model_router.ts";
import type { ConversationPrefix } from "../choice/replica_chooser.ts";
import { computePromptParts } from "./prompt_parts.ts";
import { StreamOutput } from "./stream_output.ts";
import type { StreamLimits } from "./stream_limits.ts";
import { UsageCounter, type UsageProgress } from "./stream_usage.ts";

/** Progress of a stream before this node took it over from a peer. */
export interface StreamProgress extends UsageProgress {
  readonly tokens: readonly string[];
}

/** Progress of a new request. */
export const noProgress: StreamProgress = {
  tokens: [],
  attempts: 0,
  uncountedAttempts: 0,
  recomputedTokens: 0,
};

/** Tokens and block hashes of a request's prompt, computed once. */
export interface StreamInput {
  readonly promptTokens: readonly string[];
  /** Hashes of the prompt's blocks; each also covers the blocks before it. */
  readonly chain: readonly number[];
  /** Hash and full blocks of the prefix that all turns share, if known. */
  readonly conversationPrefix: ConversationPrefix | undefined;
  /** Parts of the prompt that other requests may share. */
  readonly parts: readonly string[];
}

/** Options of a stream. */
export interface RoutedStreamOptions {
  readonly id: string;
  readonly request: ModelRequest;
  readonly input: StreamInput;
  readonly progress: StreamProgress;
  readonly clock: Clock;
  readonly limits: StreamLimits;
  /** Aborts with the lifetime of the router. */
  readonly signal: AbortSignal;
  /** Called when the caller cancels the stream or does not come back. */
  readonly onCancel: (reason: "caller" | "abandoned") => void;
}

const trailingSpace = /\s+$/;

/** Computes the tokens that a later prompt of this prompt and output has. */
export function computeContext(
  prompt: string,
  promptTokens: readonly string[],
  output: readonly string[],
): readonly string[] {
  const [first, ...rest] = output;
  if (first === undefined) return promptTokens;
  const separator = trailingSpace.exec(prompt)?.[0] ?? " ";
  const joined = trailingSpace.test(first[0] ?? "") ? first : separator + first;
  return [...promptTokens, joined, ...rest];
}

/** Splits a prompt into tokens and hashes its blocks. */
export function computeInput(
  hasher: Hasher,
  request: Pick<ModelRequest, "service" | "prompt" | "conversationStart">,
): StreamInput {
  const promptTokens = splitTokens(request.prompt);
  const chain = computeBlockHashes(hasher, promptTokens);
  const conversationPrefix = computeConversationPrefix(
    hasher,
    request,
    promptTokens,
  );
  const { prompt, service: { model } } = request;
  const parts = computePromptParts(hasher, { model, prompt });
  return { promptTokens, chain, conversationPrefix, parts };
}

function computeConversationPrefix(
  hasher: Hasher,
  { prompt, conversationStart = 0 }: Pick<
    ModelRequest,
    "prompt" | "conversationStart"
  >,
  promptTokens: readonly string[],
): ConversationPrefix | undefined {
  if (conversationStart === 0) return undefined;
  const key = hasher.hash32(prompt.slice(0, conversationStart));
  let length = 0;
  let tokens = 0;
  for (const token of promptTokens) {
    length += token.length;
    if (length > conversationStart) break;
    tokens++;
  }
  return { key, blocks: Math.floor(tokens / blockTokens) };
}

/** A stream that this node owns. */
export class RoutedStream implements ModelStream {
  readonly id: string;
  readonly request: ModelRequest;
  readonly promptTokens: readonly string[];
  readonly chain: readonly number[];
  readonly conversationPrefix: ConversationPrefix | undefined;
  readonly parts: readonly string[];
  readonly output: StreamOutput;
  readonly usage: UsageCounter;
  readonly #options: RoutedStreamOptions;
  #successor: ModelStream | undefined;
  /** Monotonic time at which the last reader detached, in milliseconds. */
  #detachedAt: number;
  #isWatchingReaders = false;

  private constructor(options: RoutedStreamOptions) {
    const { progress, input } = options;
    this.#options = options;
    this.id = options.id;
    this.request = options.request;
    this.promptTokens = input.promptTokens;
    this.chain = input.chain;
    this.conversationPrefix = input.conversationPrefix;
    this.parts = input.parts;
    this.output = StreamOutput.create(
      progress.tokens,
      options.limits.maxUnreadTokens,
    );
    this.usage = UsageCounter.create(input.promptTokens.length, progress);
    this.#detachedAt = options.clock.now();
  }

  static create(options: RoutedStreamOptions): RoutedStream {
    const stream = new RoutedStream(options);
    void stream.#watchReaders();
    return stream;
  }

  get model(): string {
    return formatModelName(this.request);
  }

  /** Input tokens of an attempt sent now: the prompt and the output so far. */
  get inputTokens(): number {
    return this.promptTokens.length + this.output.tokens.length;
  }

  /** Whether the output has as many tokens as its request allows. */
  get hasAllTokens(): boolean {
    return this.output.tokens.length >= this.request.maxTokens;
  }

  /** Whether a peer has taken this stream over. */
  get isHandedOver(): boolean {
    return this.#successor !== undefined;
  }

  /** Continues all readers on `successor`, the stream at its new owner. */
  setSuccessor(successor: ModelStream): void {
    this.#successor = successor;
    this.output.stop();
  }

  async *read(
    from: number,
    signal: AbortSignal,
  ): AsyncGenerator<StreamEvent, void, void> {
    let next = from;
    try {
      for await (const event of this.output.read(from, signal)) {
        if (event.kind === "token") next = event.index + 1;
        yield event;
      }
    } finally {
      this.#handleDetached();
    }
    if (this.#successor !== undefined && !signal.aborted) {
      yield* this.#successor.read(next, signal);
    }
  }

  cancel(): void {
    if (this.#successor !== undefined) return this.#successor.cancel();
    this.#options.onCancel("caller");
  }

  /**
   * Counts a peer, whose caller has all tokens before `from`, as a reader until
   * `read` ends.
   */
  async readForPeer<T>(from: number, read: () => Promise<T>): Promise<T> {
    const unregister = this.output.registerReader(from);
    try {
      return await read();
    } finally {
      unregister();
      this.#handleDetached();
    }
  }

  #handleDetached(): void {
    this.#detachedAt = this.#options.clock.now();
    void this.#watchReaders();
  }

  /**
   * Cancels the stream once it had no reader for `reconnectGraceMs`. One task
   * serves all readers, since a peer attaches anew for each of its requests.
   */
  async #watchReaders(): Promise<void> {
    if (this.#isWatchingReaders) return;
    this.#isWatchingReaders = true;
    const { clock, limits, signal, onCancel } = this.#options;
    while (this.#isUnread() && !signal.aborted) {
      const leftMs = this.#detachedAt + limits.reconnectGraceMs - clock.now();
      if (leftMs <= 0) {
        onCancel("abandoned");
        break;
      }
      // Sleeps of under 1 ms may not advance a floating-point clock.
      await clock.sleep(Math.max(1, leftMs), signal);
    }
    this.#isWatchingReaders = false;
  }

  /** Whether the stream goes on here and nobody reads it. */
  #isUnread(): boolean {
    return this.output.readerCount === 0 && this.output.final === undefined &&
      !this.isHandedOver;
  }
}
