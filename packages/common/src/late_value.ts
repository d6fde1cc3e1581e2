/**
 * A value that is set after the objects that use it are created.
 */

/** Holds the value; breaks cycles between objects that need each other. */
export class LateValue<T> {
  readonly #name: string;
  #value: T | undefined;

  private constructor(name: string) {
    this.#name = name;
  }

  /** @param name Names the value in the error of a read before `set`. */
  static create<T>(name: string): LateValue<T> {
    return new LateValue<T>(name);
  }

  set(value: T): void {
    this.#value = value;
  }

  /** Returns the value; throws before `set`. */
  read(): T {
    if (this.#value === undefined) {
      throw new Error(`${this.#name} was read before it was set`);
    }
    return this.#value;
  }
}
