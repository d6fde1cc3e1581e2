/**
 * Start of the last run that went well on each part of prompts, of bounded size.
 */

/** Parts kept; those that were recorded least recently go first. */
const maxParts = 8_192;
/** Parts that are forgotten together. */
const forgottenParts = 1_024;

/** Table of one node. Times are monotonic, in milliseconds. */
export class SurvivalTable {
  readonly #startedAt = new Map<string, number>();

  static create(): SurvivalTable {
    return new SurvivalTable();
  }

  /** Start of the last run that went well; -Infinity if none is known. */
  read(part: string): number {
    return this.#startedAt.get(part) ?? -Infinity;
  }

  record(part: string, startedAt: number): void {
    const latest = Math.max(startedAt, this.read(part));
    this.#startedAt.delete(part);
    this.#startedAt.set(part, latest);
    if (this.#startedAt.size > maxParts) this.#forgetOldest();
  }

  #forgetOldest(): void {
    let left = forgottenParts;
    for (const part of this.#startedAt.keys()) {
      if (left === 0) return;
      this.#startedAt.delete(part);
      left -= 1;
    }
  }
}
