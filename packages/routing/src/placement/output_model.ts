/**
 * Learns how many output tokens requests bring, and how long they run.
 *
 * What a caller asks for at most, or expects, is often far off, so both are corrected
 * by what such requests brought before: HDR histograms by service, version and route
 * of the tokens themselves and of their ratio to the caller's estimate. Two windows
 * rotate, so memory is bounded and old requests expire. A route that has shown little
 * is taken for the service's average.
 */

import { build, type Histogram } from "hdr-histogram-js";
import { formatSoftwareKey, type RequestShape } from "./request_cost.ts";

/** Length of a window; requests of the last one to two windows count. */
const windowMs = 30_000;
/** Requests from which on a histogram is used. */
const minRequests = 10;
const highPercentile = 90;
const maxTokens = 1_000_000;
/** Ratios are recorded in units of this share. */
const ratioUnit = 0.01;
/** Output assumed of a request that states nothing, in tokens. */
const assumedTokens = 128;
/** Share of the largest number asked for that is assumed. */
const assumedShare = 0.5;
/** Time that a request of any kind is assumed to run. */
const assumedRunMs = 2_000;
const minRunMs = 100;
const maxRunMs = 20_000;
/** Weight of a finished request in the average run time. */
const runWeight = 0.05;
/** Largest number of kinds of requests that are kept. */
const maxKinds = 256;

/** Expected output of a request. */
export interface ExpectedOutput {
  readonly tokens: number;
  /** Number that nine in ten such requests stay below. */
  readonly highTokens: number;
  /** Requests that it was learnt from. */
  readonly observations: number;
}

/** Outputs of all services. Times are monotonic, in milliseconds. */
export class OutputModel {
  readonly #kinds = new Map<string, OutputKind>();
  readonly #runMs = new Map<string, number>();

  static create(): OutputModel {
    return new OutputModel();
  }

  /** Predicts the output of a request. */
  predict(shape: RequestShape): ExpectedOutput {
    const { hintedOutputTokens, maxOutputTokens = Infinity } = shape;
    const own = this.#kinds.get(formatKind(shape));
    const kind = own !== undefined && own.count >= minRequests
      ? own
      : this.#kinds.get(formatSoftwareKey(shape));
    const learnt = kind?.predict(hintedOutputTokens) ?? assume(shape);
    return {
      tokens: Math.min(maxOutputTokens, learnt.tokens),
      highTokens: Math.min(maxOutputTokens, learnt.highTokens),
      observations: learnt.observations,
    };
  }

  /** Predicts how long a request of the service holds a slot. */
  predictRunMs(service: string): number {
    return this.#runMs.get(service) ?? assumedRunMs;
  }

  /** Records what a finished request brought, and how long it ran. */
  record(
    shape: RequestShape,
    { tokens, runMs }: { readonly tokens: number; readonly runMs: number },
    now: number,
  ): void {
    for (const key of [formatKind(shape), formatSoftwareKey(shape)]) {
      this.#find(key, now).record(tokens, shape.hintedOutputTokens, now);
    }
    const previousMs = this.predictRunMs(shape.service);
    const boundedMs = Math.min(maxRunMs, Math.max(minRunMs, runMs));
    this.#runMs.set(
      shape.service,
      previousMs + (boundedMs - previousMs) * runWeight,
    );
  }

  #find(key: string, now: number): OutputKind {
    const kind = this.#kinds.get(key) ?? OutputKind.create(now);
    this.#kinds.delete(key);
    this.#kinds.set(key, kind);
    if (this.#kinds.size > maxKinds) {
      const [oldest] = this.#kinds.keys();
      if (oldest !== undefined) this.#kinds.delete(oldest);
    }
    return kind;
  }
}

/** Outputs of one kind of requests. */
class OutputKind {
  readonly #tokens: RotatingHistogram;
  readonly #ratios: RotatingHistogram;

  private constructor(now: number) {
    this.#tokens = RotatingHistogram.create(now);
    this.#ratios = RotatingHistogram.create(now);
  }

  static create(now: number): OutputKind {
    return new OutputKind(now);
  }

  get count(): number {
    return this.#tokens.count;
  }

  predict(hintedTokens: number | undefined): ExpectedOutput | undefined {
    if (this.count < minRequests) return undefined;
    const isHinted = hintedTokens !== undefined &&
      this.#ratios.count >= minRequests;
    const histogram = isHinted ? this.#ratios : this.#tokens;
    const unit = isHinted ? hintedTokens * ratioUnit : 1;
    return {
      tokens: histogram.computeMean() * unit,
      highTokens: histogram.computePercentile(highPercentile) * unit,
      observations: histogram.count,
    };
  }

  record(tokens: number, hinted: number | undefined, now: number): void {
    this.#tokens.record(tokens, now);
    if (hinted !== undefined && hinted > 0) {
      this.#ratios.record(tokens / hinted / ratioUnit, now);
    }
  }
}

/** Histogram of the last one to two windows. */
class RotatingHistogram {
  #current = createHistogram();
  #previous = createHistogram();
  #rotateAt: number;

  private constructor(now: number) {
    this.#rotateAt = now + windowMs;
  }

  static create(now: number): RotatingHistogram {
    return new RotatingHistogram(now);
  }

  get count(): number {
    return this.#current.totalCount + this.#previous.totalCount;
  }

  record(value: number, now: number): void {
    if (now >= this.#rotateAt) {
      [this.#previous, this.#current] = [this.#current, this.#previous];
      this.#current.reset();
      // After a pause both windows are too old.
      if (now >= this.#rotateAt + windowMs) this.#previous.reset();
      this.#rotateAt = now + windowMs;
    }
    const rounded = Math.round(value);
    this.#current.recordValue(Math.min(maxTokens, Math.max(1, rounded)));
  }

  computeMean(): number {
    const { totalCount: count } = this.#current;
    const { totalCount: oldCount } = this.#previous;
    const sum = (count === 0 ? 0 : this.#current.mean * count) +
      (oldCount === 0 ? 0 : this.#previous.mean * oldCount);
    return sum / Math.max(1, count + oldCount);
  }

  /** The larger of both windows' percentiles: a bound, not an average. */
  computePercentile(percentile: number): number {
    return Math.max(
      this.#current.getValueAtPercentile(percentile),
      this.#previous.getValueAtPercentile(percentile),
    );
  }
}

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: maxTokens,
    numberOfSignificantValueDigits: 1,
  });
}

function assume(
  { hintedOutputTokens: hinted, maxOutputTokens: most }: RequestShape,
): ExpectedOutput {
  const byMost = most === undefined ? assumedTokens : most * assumedShare;
  return {
    tokens: hinted ?? byMost,
    highTokens: most ?? hinted ?? assumedTokens,
    observations: 0,
  };
}

function formatKind(shape: RequestShape): string {
  return `${formatSoftwareKey(shape)} ${shape.route}`;
}
