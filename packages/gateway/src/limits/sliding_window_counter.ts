/**
 * Count of events within a sliding window, kept in slots of time.
 */

const slotsPerWindow = 20;

/** One sliding count. */
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
    const at = this.#current % this.#slots.length;
    this.#slots[at] = (this.#slots[at] ?? 0) + amount;
    this.#total += amount;
  }

  /** Sum over the window that ends at `now`, rounded up to a whole slot. */
  read(now: number): number {
    this.#advance(now);
    return this.#total;
  }

  #advance(now: number): void {
    const slot = Math.floor(now / this.#slotMs);
    const steps = Math.min(slot - this.#current, this.#slots.length);
    if (steps <= 0) return;
    for (let step = 1; step <= steps; step += 1) {
      const at = (slot - steps + step) % this.#slots.length;
      this.#total -= this.#slots[at] ?? 0;
      this.#slots[at] = 0;
    }
    this.#current = slot;
  }
}
