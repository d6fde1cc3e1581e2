/**
 * Output of a process's log: a stream that may be slow, full or gone.
 *
 * Logging neither blocks nor ends a process. Lines wait for their reader up to a
 * bound; beyond it, and when the reader has closed its end, they are dropped.
 */

import type { Writable } from "node:stream";

/** Bytes that may wait for the reader. */
const maxWaitingBytes = 262_144;
/** Pause between two looks at what still waits, in milliseconds. */
const flushPollMs = 5;

/** Output to one stream. */
export class LogOutput {
  readonly #stream: Writable;
  #isClosed = false;
  /** Lines dropped since the last one that was written. */
  #dropped = 0;

  private constructor(stream: Writable) {
    this.#stream = stream;
    // Nobody else handles it, and there is no other place to report it.
    stream.on("error", () => this.#isClosed = true);
  }

  static create(stream: Writable): LogOutput {
    return new LogOutput(stream);
  }

  /** Writes whole lines, or drops them. */
  write(text: string): void {
    if (this.#isClosed) return;
    if (this.#stream.writableLength > maxWaitingBytes) {
      this.#dropped += text.split("\n").length - 1;
      return;
    }
    const dropped = this.#dropped;
    this.#dropped = 0;
    if (dropped > 0) this.#stream.write(`${formatDropped(dropped)}\n`);
    this.#stream.write(text);
  }

  /** Waits until all lines have left, at most `ms` milliseconds. */
  async flush(ms: number): Promise<void> {
    const endsAt = performance.now() + ms;
    const isWaiting = (): boolean =>
      !this.#isClosed && this.#stream.writableLength > 0;
    while (isWaiting() && performance.now() < endsAt) {
      await new Promise((resolve) => setTimeout(resolve, flushPollMs));
    }
  }
}

function formatDropped(lines: number): string {
  const message = "lines were dropped, since their reader was too slow.";
  return JSON.stringify({ level: "warn", part: "log", message, lines });
}
