/**
 * Time after which an idempotent call is sent to a second endpoint.
 *
 * It is the 95th percentile of the service's recent durations, from two HDR
 * histograms that take turns, so memory is bounded and old durations fade. When
 * all endpoints slow down the delay grows with them and few calls are hedged.
 */

import { build, type Histogram } from "hdr-histogram-js";
import type { Clock } from "@almondcrank/common/clock.ts";

const percentile = 95;
const windowMs = 10_000;
const refreshMs = 500;
const minSamples = 100;
const microsecondsPerMillisecond = 1_000;
const highestMicroseconds = 60_000_000;

/** Durations of one service. */
export class HedgeDelay {
  readonly #clock: Clock;
  #current = createHistogram();
  #previous = createHistogram();
  #turnAt: number;
  #refreshAt = 0;
  #delayMs: number | undefined;

  private constructor(clock: Clock) {
    this.#clock = clock;
    this.#turnAt = clock.now() + windowMs;
  }

  static create(clock: Clock): HedgeDelay {
    return new HedgeDelay(clock);
  }

  /** Records how long an endpoint took to answer. */
  record(ms: number): void {
    const micros = Math.round(ms * microsecondsPerMillisecond);
    this.#current.recordValue(
      Math.min(highestMicroseconds, Math.max(1, micros)),
    );
  }

  /** Reads the delay in milliseconds; undefined while too little is known. */
  read(): number | undefined {
    const now = this.#clock.now();
    if (now >= this.#refreshAt) {
      this.#refreshAt = now + refreshMs;
      this.#setDelay(now);
    }
    return this.#delayMs;
  }

  #setDelay(now: number): void {
    if (now >= this.#turnAt) {
      [this.#previous, this.#current] = [this.#current, this.#previous];
      this.#current.reset();
      this.#turnAt = now + windowMs;
    }
    const both = createHistogram();
    both.add(this.#previous);
    both.add(this.#current);
    this.#delayMs = both.totalCount < minSamples
      ? undefined
      : both.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
  }
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: highestMicroseconds,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32,
  });
}
