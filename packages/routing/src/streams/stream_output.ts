/**
 * Output of one stream, appended by its current attempt and read by callers.
 *
 * All tokens are kept as long as the stream is held, because a resumed attempt
 * and a reconnecting caller need them; the request's `maxTokens` bounds them.
 * Backpressure: the writer waits while it is too far ahead of the furthest
 * reader, so a slow caller slows its engine down.
 */

import type { StreamEvent } from "../routers/model_router.ts";

/** Event that ends a stream. */
export type FinalEvent = Exclude<StreamEvent, { readonly kind: "token" }>;

/** Tokens and final event of one stream. */
export class StreamOutput {
  readonly #tokens: string[];
  readonly #maxUnread: number;
  #final: FinalEvent | undefined;
  #isStopped = false;
  #isPaused = false;
  #readerCount = 0;
  #furthestRead = 0;
  #wakeReaders: (() => void) | undefined;
  #changed: Promise<void> | undefined;
  #writerWakes: (() => void)[] = [];

  private constructor(tokens: readonly string[], maxUnread: number) {
    this.#tokens = [...tokens];
    this.#maxUnread = maxUnread;
  }

  /**
   * @param tokens Output so far of a stream taken over from a peer.
   * @param maxUnread Tokens the writer may be ahead of the furthest reader.
   */
  static create(tokens: readonly string[], maxUnread: number): StreamOutput {
    const output = new StreamOutput(tokens, maxUnread);
    output.#furthestRead = tokens.length;
    return output;
  }

  get tokens(): readonly string[] {
    return this.#tokens;
  }

  get final(): FinalEvent | undefined {
    return this.#final;
  }

  /** Number of attached readers. */
  get readerCount(): number {
    return this.#readerCount;
  }

  /** Whether the writer may append without waiting. */
  get isWritable(): boolean {
    return !this.#isPaused &&
      this.#tokens.length - this.#furthestRead < this.#maxUnread;
  }

  /** Whether nothing may be appended until `resume`. */
  get isPaused(): boolean {
    return this.#isPaused && this.#final === undefined && !this.#isStopped;
  }

  /** Keeps all writers from appending until `resume`. */
  pause(): void {
    this.#isPaused = true;
  }

  /** Lets writers append again after `pause`. */
  resume(): void {
    this.#isPaused = false;
    this.#wakeAllWriters();
  }

  /** Appends the next token. */
  add(text: string): void {
    this.#tokens.push(text);
    this.wake();
  }

  /** Ends the stream; only the first final event counts. */
  close(event: FinalEvent): void {
    this.#final ??= event;
    this.wake();
    this.#wakeAllWriters();
  }

  /** Ends all reads without a final event: the stream continues elsewhere. */
  stop(): void {
    this.#isStopped = true;
    this.wake();
    this.#wakeAllWriters();
  }

  /** Wakes readers so that they check the output and their signals again. */
  wake(): void {
    const wake = this.#wakeReaders;
    this.#wakeReaders = undefined;
    this.#changed = undefined;
    wake?.();
  }

  /** Resolves when a token is added, the stream ends or readers are woken. */
  waitChange(): Promise<void> {
    this.#changed ??= new Promise((resolve) => this.#wakeReaders = resolve);
    return this.#changed;
  }

  /** Resolves when the writer may append, or the stream has ended or stopped. */
  async waitWritable(): Promise<void> {
    while (!this.isWritable && this.#final === undefined && !this.#isStopped) {
      await new Promise<void>((resolve) => this.#writerWakes.push(resolve));
    }
  }

  /** Yields events from token `from` on until the end or an abort. */
  async *read(
    from: number,
    signal: AbortSignal,
  ): AsyncGenerator<StreamEvent, void, void> {
    const wake = (): void => this.wake();
    signal.addEventListener("abort", wake, { once: true });
    const unregister = this.registerReader(from);
    let index = from;
    try {
      while (!signal.aborted) {
        const text = this.#tokens[index];
        if (text !== undefined) {
          yield { kind: "token", index, text };
          index++;
          this.#recordRead(index);
        } else if (this.#final !== undefined) {
          yield this.#final;
          return;
        } else if (this.#isStopped) {
          return;
        } else {
          await this.waitChange();
        }
      }
    } finally {
      unregister();
      signal.removeEventListener("abort", wake);
    }
  }

  /**
   * Attaches a reader that has received all tokens before `from`; the returned
   * function detaches it.
   */
  registerReader(from: number): () => void {
    this.#readerCount++;
    this.#recordRead(Math.min(from, this.#tokens.length));
    return () => {
      this.#readerCount--;
    };
  }

  #recordRead(index: number): void {
    if (index <= this.#furthestRead) return;
    this.#furthestRead = index;
    if (this.#writerWakes.length > 0 && this.isWritable) this.#wakeAllWriters();
  }

  /** Resolves when the output is not paused, or the stream has ended or stopped. */
  async waitResumed(): Promise<void> {
    while (this.isPaused) {
      await new Promise<void>((resolve) => this.#writerWakes.push(resolve));
    }
  }

  /** Wakes all writers: a replaced attempt may wait beside the current one. */
  #wakeAllWriters(): void {
    const wakes = this.#writerWakes;
    this.#writerWakes = [];
    for (const wake of wakes) wake();
  }
}
