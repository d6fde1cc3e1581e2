/**
 * Delay after which an idempotent call is hedged, that is, also sent to a second
 * endpoint.
 *
 * The delay is the 95th percentile of the service's durations in the current and
 * the previous window. The two windows' HDR histograms rotate, so memory is
 * bounded and old durations expire. If all endpoints slow down, the delay grows
 * with them and few calls are hedged.
 */

import { build, type Histogram } from "hdr-histogram-js";
import type { Clock } from "@almondcrank/common/clock.ts";

const percentile = 95;
/** Length of a window; durations of the last one to two windows count. */
const windowMs = 10_000;
/** Time between computations of the percentile. */
const refreshMs = 500;
/** Durations below which no delay is given and no call is hedged. */
const minSamples = 100;
const microsecondsPerMillisecond = 1_000;
const maxMicroseconds = 60_000_000;

/** Computes the hedge delay of one service from its durations. */
export class HedgeDelay {
  readonly #clock: Clock;
  #current = createHistogram();
  #previous = createHistogram();
  #rotateAt: number;
  #refreshAt = 0;
  #delayMs: number | undefined;

  private constructor(clock: Clock) {
    this.#clock = clock;
    this.#rotateAt = clock.now() + windowMs;
  }

  static create(clock: Clock): HedgeDelay {
    return new HedgeDelay(clock);
  }

  /** Records the time in milliseconds that an endpoint took to answer. */
  record(ms: number): void {
    const micros = Math.round(ms * microsecondsPerMillisecond);
    this.#current.recordValue(
      Math.min(maxMicroseconds, Math.max(1, micros)),
    );
  }

  /** Reads the delay in milliseconds; undefined while samples are too few. */
  read(): number | undefined {
    const now = this.#clock.now();
    if (now >= this.#refreshAt) {
      this.#refreshAt = now + refreshMs;
      this.#refreshDelay(now);
    }
    return this.#delayMs;
  }

  #refreshDelay(now: number): void {
    if (now >= this.#rotateAt) {
      [this.#previous, this.#current] = [this.#current, this.#previous];
      this.#current.reset();
      this.#rotateAt = now + windowMs;
    }
    const combined = createHistogram();
    combined.add(this.#previous);
    combined.add(this.#current);
    this.#delayMs = combined.totalCount < minSamples
      ? undefined
      : combined.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
  }
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: maxMicroseconds,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32,
  });
}
