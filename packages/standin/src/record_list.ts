/**
 * Bounded list that keeps the latest records.
 */

/** Lists the latest `limit` records and counts all. */
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

  /** Number of records ever added. */
  get total(): number {
    return this.#total;
  }

  add(record: T): void {
    this.#total += 1;
    this.#records.push(record);
    // Trims in batches to keep the amortized cost of a record constant.
    if (this.#records.length > 2 * this.#limit) {
      this.#records = this.#records.slice(-this.#limit);
    }
  }

  /** Lists the latest records, oldest first. */
  list(): readonly T[] {
    return this.#records.slice(-this.#limit);
  }
}
