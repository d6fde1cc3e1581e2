/**
 * A value that is set once, after those that use it were made.
 */

/** Holder of the value. */
export class LateValue<T> {
  readonly #name: string;
  #value: T | undefined;

  private constructor(name: string) {
    this.#name = name;
  }

  /** @param name What the value is, for the message of an early read. */
  static create<T>(name: string): LateValue<T> {
    return new LateValue<T>(name);
  }

  set(value: T): void {
    this.#value = value;
  }

  /** Throws when read too early. */
  read(): T {
    if (this.#value === undefined) {
      throw new Error(`${this.#name} is not there yet; start it first`);
    }
    return this.#value;
  }
}
