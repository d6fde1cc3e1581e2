/**
 * An accepted request of this node: its request, output and readers.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Hasher } from "@almondcrank/common/hashing.ts";
import {
  blockTokens,
  computeBlockHashes,
  splitTokens,
} from "@almondcrank/endpoint/tokens.ts";
import type {
  ModelRequest,
  ModelStream,
  StreamEvent,
} from "../routers/model_router.ts";
import type { ConversationPrefix } from "../choice/replica_chooser.ts";
import { StreamOutput } from "./stream_output.ts";
import type { StreamLimits } from "./stream_limits.ts";
import { UsageCounter } from "./stream_usage.ts";

/** What a stream had when it came from a peer. */
export interface StreamProgress {
  readonly tokens: readonly string[];
  readonly attempts: number;
  readonly recomputedTokens: number;
}

/** Past of a new request. */
export const noProgress: StreamProgress = {
  tokens: [],
  attempts: 0,
  recomputedTokens: 0,
};

/** Input of a request, cut and hashed once. */
export interface StreamInput {
  readonly promptTokens: readonly string[];
  readonly chain: readonly number[];
  /** Hash and full blocks of the beginning that all turns share, if known. */
  readonly opening: ConversationPrefix | undefined;
}

/** Options of a stream. */
export interface RoutedStreamOptions {
  readonly id: string;
  readonly request: ModelRequest;
  readonly input: StreamInput;
  readonly past: StreamProgress;
  readonly clock: Clock;
  readonly limits: StreamLimits;
  /** Aborts with the lifetime of the router. */
  readonly signal: AbortSignal;
  /** Called when the stream shall be cancelled. */
  readonly onCancel: (reason: "caller" | "abandoned") => void;
}

const trailingSpace = /\s+$/;

/** Tokens of a prompt followed by output, as a later prompt would hold them. */
export function computeContext(
  prompt: string,
  promptTokens: readonly string[],
  output: readonly string[],
): readonly string[] {
  const [first, ...rest] = output;
  if (first === undefined) return promptTokens;
  const joint = trailingSpace.exec(prompt)?.[0] ?? " ";
  const joined = trailingSpace.test(first[0] ?? "") ? first : joint + first;
  return [...promptTokens, joined, ...rest];
}

/** Cuts a prompt into tokens and hashes its blocks. */
export function computeInput(
  hasher: Hasher,
  request: Pick<ModelRequest, "prompt" | "conversationStart">,
): StreamInput {
  const promptTokens = splitTokens(request.prompt);
  const chain = computeBlockHashes(hasher, promptTokens);
  const opening = computeOpening(hasher, request, promptTokens);
  return { promptTokens, chain, opening };
}

function computeOpening(
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

/** Stream owned by this node. */
export class RoutedStream implements ModelStream {
  readonly id: string;
  readonly request: ModelRequest;
  readonly promptTokens: readonly string[];
  readonly chain: readonly number[];
  readonly opening: ConversationPrefix | undefined;
  readonly log: StreamOutput;
  readonly usage: UsageCounter;
  readonly #options: RoutedStreamOptions;
  #successor: ModelStream | undefined;
  #absences = 0;

  private constructor(options: RoutedStreamOptions) {
    const { past, input } = options;
    this.#options = options;
    this.id = options.id;
    this.request = options.request;
    this.promptTokens = input.promptTokens;
    this.chain = input.chain;
    this.opening = input.opening;
    this.log = StreamOutput.create(past.tokens, options.limits.maxUnreadTokens);
    this.usage = UsageCounter.create(input.promptTokens.length, past);
  }

  static create(options: RoutedStreamOptions): RoutedStream {
    const stream = new RoutedStream(options);
    void stream.#waitReader();
    return stream;
  }

  /** Tokens an attempt sent now has as its input. */
  get inputTokens(): number {
    return this.promptTokens.length + this.log.tokens.length;
  }

  /** Whether a peer goes on with this stream. */
  get isHandedOver(): boolean {
    return this.#successor !== undefined;
  }

  /** Lets readers go on with the stream at its new node. */
  setSuccessor(successor: ModelStream): void {
    this.#successor = successor;
    this.log.stop();
  }

  async *read(
    from: number,
    signal: AbortSignal,
  ): AsyncGenerator<StreamEvent, void, void> {
    let next = from;
    try {
      for await (const event of this.log.read(from, signal)) {
        if (event.kind === "token") next = event.index + 1;
        yield event;
      }
    } finally {
      if (this.log.readers === 0 && this.log.final === undefined) {
        void this.#waitReader();
      }
    }
    if (this.#successor !== undefined && !signal.aborted) {
      yield* this.#successor.read(next, signal);
    }
  }

  cancel(): void {
    if (this.#successor !== undefined) return this.#successor.cancel();
    this.#options.onCancel("caller");
  }

  /** Cancels the stream unless a reader comes back within the grace. */
  async #waitReader(): Promise<void> {
    const { clock, limits, signal, onCancel } = this.#options;
    const absence = ++this.#absences;
    await clock.sleep(limits.reconnectGraceMs, signal);
    if (signal.aborted) return;
    const gone = absence === this.#absences && this.log.readers === 0;
    if (gone && this.log.final === undefined && !this.isHandedOver) {
      onCancel("abandoned");
    }
  }
}
