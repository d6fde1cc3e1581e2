/**
 * A list of the latest records, bounded in number.
 */

/** Keeps the latest `limit` records. */
export class RecordList<T> {
  readonly #limit: number;
  #records: T[] = [];
  #total = 0;

  private constructor(limit: number) {
    this.#limit = limit;
  }

  static create<T>(limit: number): RecordList<T> {
    return new RecordList<T>(limit);
  }

  /** Records ever added. */
  get total(): number {
    return this.#total;
  }

  add(record: T): void {
    this.#total += 1;
    this.#records.push(record);
    // Trims in batches, so that a record costs the same on average.
    if (this.#records.length > 2 * this.#limit) {
      this.#records = this.#records.slice(-this.#limit);
    }
  }

  /** Lists the latest records, oldest first. */
  list(): readonly T[] {
    return this.#records.slice(-this.#limit);
  }
}
