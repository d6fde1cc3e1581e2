/**
 * Counts events within a sliding window that is divided into time slots.
 */

const slotsPerWindow = 20;

/** Sliding window counter. Times are monotonic, in milliseconds. */
export class SlidingWindowCounter {
  readonly #slotMs: number;
  readonly #slots = new Float64Array(slotsPerWindow + 1);
  #current = 0;
  #total = 0;

  private constructor(windowMs: number) {
    this.#slotMs = windowMs / slotsPerWindow;
  }

  static create(windowMs: number): SlidingWindowCounter {
    return new SlidingWindowCounter(windowMs);
  }

  add(amount: number, now: number): void {
    this.#advance(now);
    const index = this.#current % this.#slots.length;
    this.#slots[index] = (this.#slots[index] ?? 0) + amount;
    this.#total += amount;
  }

  /** Reads the sum over the window that ends at `now`, rounded up to whole slots. */
  read(now: number): number {
    this.#advance(now);
    return this.#total;
  }

  /** Multiplies all that is counted by a factor. */
  scale(factor: number): void {
    for (const [index, amount] of this.#slots.entries()) {
      this.#slots[index] = amount * factor;
    }
    this.#total *= factor;
  }

  #advance(now: number): void {
    const slot = Math.floor(now / this.#slotMs);
    const steps = Math.min(slot - this.#current, this.#slots.length);
    if (steps <= 0) return;
    for (let step = 1; step <= steps; step += 1) {
      const index = (slot - steps + step) % this.#slots.length;
      this.#total -= this.#slots[index] ?? 0;
      this.#slots[index] = 0;
    }
    this.#current = slot;
  }
}
