/**
 * Collects the lines of one turn of the event loop and writes them together, as
 * each write to a process's output is a call to the system.
 */

/** Buffer of lines. */
export class LineBuffer {
  readonly #write: (text: string) => void;
  #lines: string[] = [];

  private constructor(write: (text: string) => void) {
    this.#write = write;
  }

  /**
   * @param write Receives the lines of one turn, each with its line feed.
   */
  static create(write: (text: string) => void): LineBuffer {
    return new LineBuffer(write);
  }

  /** Adds a line without its line feed. */
  add(line: string): void {
    if (this.#lines.push(line) === 1) setImmediate(() => this.writeAll());
  }

  /** Writes what was added; needed before the process exits. */
  writeAll(): void {
    if (this.#lines.length === 0) return;
    const text = this.#lines.join("\n") + "\n";
    this.#lines = [];
    this.#write(text);
  }
}
