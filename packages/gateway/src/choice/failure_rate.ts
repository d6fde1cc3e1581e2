/**
 * Recent failure rate of one replica.
 *
 * The rate is an exponentially weighted average of the outcomes that also decays
 * with time, so a replica that recovered gets requests again without a separate
 * health probe.
 */

import { DecayingValue } from "@almondcrank/common/decaying_value.ts";

/** Weight of the latest outcome. */
const outcomeWeight = 0.3;
/** Time in which the rate decays to 1/e without outcomes. */
const decayMs = 4_000;

/** Exponentially weighted failure rate, 0 to 1. */
export class FailureRate {
  readonly #rate = DecayingValue.create(decayMs);

  static create(): FailureRate {
    return new FailureRate();
  }

  /**
   * Records an outcome.
   *
   * @param now Monotonic time in milliseconds.
   * @param weight Scales how much a failure counts.
   */
  record(isFailure: boolean, now: number, weight = 1): void {
    const value = this.read(now);
    const step = outcomeWeight * weight;
    const next = isFailure
      ? value + step * (1 - value)
      : value * (1 - outcomeWeight);
    this.#rate.write(next, now);
  }

  /** Reads the rate at `now`, in monotonic milliseconds. */
  read(now: number): number {
    return this.#rate.read(now);
  }
}
