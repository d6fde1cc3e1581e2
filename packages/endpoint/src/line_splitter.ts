/**
 * Incremental cutting of a byte stream into lines.
 *
 * Most chunks hold whole lines, so a line is decoded straight from the chunk;
 * only a line that spans chunks is copied.
 */

const newline = 0x0a;

/** Longest line accepted, in bytes. */
export const maxLineBytes = 262_144;

/** Splitter of one byte stream. */
export class LineSplitter {
  #rest: Buffer | undefined;

  static create(): LineSplitter {
    return new LineSplitter();
  }

  /**
   * Takes the next chunk and adds the lines it completes to `lines`.
   *
   * @returns False when the unfinished line exceeds `maxLineBytes`.
   */
  add(chunk: Buffer, lines: string[]): boolean {
    let data = chunk;
    if (this.#rest !== undefined) {
      data = Buffer.concat([this.#rest, chunk]);
      this.#rest = undefined;
    }
    let start = 0;
    let end = data.indexOf(newline);
    while (end !== -1) {
      if (end > start) lines.push(data.toString("utf8", start, end));
      start = end + 1;
      end = data.indexOf(newline, start);
    }
    if (start < data.length) this.#rest = data.subarray(start);
    return data.length - start <= maxLineBytes;
  }
}
