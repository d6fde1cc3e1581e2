/**
 * Recent share of failed requests of one replica.
 *
 * Each outcome moves the rate by a fixed step, and time lets it fade, so a
 * replica that recovered is tried again without a probe of its own.
 */

const outcomeWeight = 0.3;
const fadeMs = 4_000;

/** Exponentially weighted failure rate, 0 to 1. */
export class FailureRate {
  #value = 0;
  #updatedAt = 0;

  static create(): FailureRate {
    return new FailureRate();
  }

  /** Records an outcome; `weight` scales how much a failure counts. */
  record(isFailure: boolean, now: number, weight = 1): void {
    const value = this.read(now);
    const step = outcomeWeight * weight;
    this.#value = isFailure
      ? value + step * (1 - value)
      : value * (1 - outcomeWeight);
    this.#updatedAt = now;
  }

  /** Rate at `now`, in monotonic milliseconds. */
  read(now: number): number {
    if (this.#value === 0) return 0;
    return this.#value * Math.exp(-(now - this.#updatedAt) / fadeMs);
  }
}
