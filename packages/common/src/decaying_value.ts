/**
 * A value that nears 0 exponentially while nothing is recorded.
 *
 * What is learnt from a node's own traffic must be forgotten without it: a replica
 * or tenant that gets no requests for what was learnt could never correct it.
 */

/** Value that decays with time. Times are monotonic, in milliseconds. */
export class DecayingValue {
  readonly #decayMs: number;
  #value = 0;
  #at = 0;

  private constructor(decayMs: number) {
    this.#decayMs = decayMs;
  }

  /** @param decayMs Time in which the value decays to 1/e. */
  static create(decayMs: number): DecayingValue {
    return new DecayingValue(decayMs);
  }

  /** Reads the value at `now`. */
  read(now: number): number {
    if (this.#value === 0) return 0;
    return this.#value * Math.exp((this.#at - now) / this.#decayMs);
  }

  /** Replaces the value. */
  write(value: number, now: number): void {
    this.#value = value;
    this.#at = now;
  }

  /** Adds to the value. */
  add(amount: number, now: number): void {
    this.write(this.read(now) + amount, now);
  }
}
