/**
 * Splits a byte stream into lines.
 *
 * Most chunks hold whole lines, so a line is decoded directly from the chunk; only
 * a line that spans several chunks is copied.
 */

const newline = 0x0a;

/** Longest line accepted, in bytes. */
export const maxLineBytes = 262_144;

/** Splits one byte stream; empty lines are dropped. */
export class LineSplitter {
  #incomplete: Buffer | undefined;
  /** Bytes received since the last line that was not empty. */
  #idleBytes = 0;

  static create(): LineSplitter {
    return new LineSplitter();
  }

  /**
   * Takes the next chunk and appends the lines that it completes to `lines`.
   *
   * @returns False when the incomplete line, or what came since the last line
   * that was not empty, exceeds `maxLineBytes`.
   */
  add(chunk: Buffer, lines: string[]): boolean {
    const linesBefore = lines.length;
    let data = chunk;
    if (this.#incomplete !== undefined) {
      data = Buffer.concat([this.#incomplete, chunk]);
      this.#incomplete = undefined;
    }
    let start = 0;
    let end = data.indexOf(newline);
    while (end !== -1) {
      if (end > start) lines.push(data.toString("utf8", start, end));
      start = end + 1;
      end = data.indexOf(newline, start);
    }
    if (start < data.length) this.#incomplete = data.subarray(start);
    const hasLine = lines.length > linesBefore;
    this.#idleBytes = hasLine ? 0 : this.#idleBytes + chunk.length;
    return Math.max(data.length - start, this.#idleBytes) <= maxLineBytes;
  }
}
