/**
 * Output of one stream, appended by its current attempt and read by callers.
 *
 * All tokens are kept while the stream lives, because a resumed attempt and a
 * caller that comes back need them; `maxTokens` of the request bounds them. The
 * writer additionally waits while the furthest reader lags too far behind, so a
 * slow caller holds back its engine.
 */

import type { StreamEvent } from "../routers/model_router.ts";

/** Event that ends a stream. */
export type FinalEvent = Exclude<StreamEvent, { readonly kind: "token" }>;

/** Tokens and final event of one stream. */
export class StreamOutput {
  readonly #tokens: string[];
  readonly #maxUnread: number;
  #final: FinalEvent | undefined;
  #stopped = false;
  #readers = 0;
  #readIndex = 0;
  #wakeReaders: (() => void) | undefined;
  #changed: Promise<void> | undefined;
  #wakeWriters: (() => void)[] = [];

  private constructor(tokens: readonly string[], maxUnread: number) {
    this.#tokens = [...tokens];
    this.#maxUnread = maxUnread;
  }

  /**
   * @param tokens Output so far, of a stream taken over from a peer.
   * @param maxUnread Tokens the writer may be ahead of the furthest reader.
   */
  static create(tokens: readonly string[], maxUnread: number): StreamOutput {
    const log = new StreamOutput(tokens, maxUnread);
    log.#readIndex = tokens.length;
    return log;
  }

  get tokens(): readonly string[] {
    return this.#tokens;
  }

  get final(): FinalEvent | undefined {
    return this.#final;
  }

  /** Attached readers. */
  get readers(): number {
    return this.#readers;
  }

  /** Whether the writer may append without waiting. */
  get isWritable(): boolean {
    return this.#tokens.length - this.#readIndex < this.#maxUnread;
  }

  /** Adds the next token. */
  add(text: string): void {
    this.#tokens.push(text);
    this.wake();
  }

  /** Ends the stream; the first final event stands. */
  close(event: FinalEvent): void {
    this.#final ??= event;
    this.wake();
    this.#releaseWriters();
  }

  /** Ends all reading without an end of the stream: it goes on elsewhere. */
  stop(): void {
    this.#stopped = true;
    this.wake();
    this.#releaseWriters();
  }

  /** Wakes readers so that they look at the log and their signals again. */
  wake(): void {
    const wake = this.#wakeReaders;
    this.#wakeReaders = undefined;
    this.#changed = undefined;
    wake?.();
  }

  /** Resolves at the next change. */
  waitChange(): Promise<void> {
    this.#changed ??= new Promise((resolve) => this.#wakeReaders = resolve);
    return this.#changed;
  }

  /** Resolves when the writer may append or the stream has ended. */
  async waitWritable(): Promise<void> {
    while (!this.isWritable && this.#final === undefined && !this.#stopped) {
      await new Promise<void>((resolve) => this.#wakeWriters.push(resolve));
    }
  }

  /** Yields events from token `from` on until the end or until `signal`. */
  async *read(
    from: number,
    signal: AbortSignal,
  ): AsyncGenerator<StreamEvent, void, void> {
    const wake = (): void => this.wake();
    signal.addEventListener("abort", wake, { once: true });
    this.#readers++;
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
        } else if (this.#stopped) {
          return;
        } else {
          await this.waitChange();
        }
      }
    } finally {
      this.#readers--;
      signal.removeEventListener("abort", wake);
    }
  }

  #recordRead(index: number): void {
    if (index <= this.#readIndex) return;
    this.#readIndex = index;
    if (this.#wakeWriters.length > 0 && this.isWritable) this.#releaseWriters();
  }

  /** An attempt that was replaced may wait beside the current one. */
  #releaseWriters(): void {
    const wakes = this.#wakeWriters;
    this.#wakeWriters = [];
    for (const wake of wakes) wake();
  }
}
