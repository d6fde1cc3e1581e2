/**
 * Counters, gauges and latency histograms of one process.
 *
 * Histograms are HDR histograms in microseconds, so their memory is bounded and
 * percentiles are exact to three digits. `Metrics.format` writes all series in
 * the Prometheus text format.
 */

import { build, type Histogram } from "hdr-histogram-js";

/** Label values of one series. */
export type Labels = Readonly<Record<string, string>>;

const microsecondsPerMillisecond = 1_000;
const maxTrackableMicroseconds = 3_600_000_000;
const reportedPercentiles = [50, 90, 95, 99, 99.9] as const;

interface Series<T> {
  readonly name: string;
  readonly labels: Labels;
  value: T;
}

/** Metrics registry of a process. Series are created on first use. */
export class Metrics {
  readonly #counters = new Map<string, Series<number>>();
  readonly #gauges = new Map<string, Series<number>>();
  readonly #histograms = new Map<string, Series<Histogram>>();

  static create(): Metrics {
    return new Metrics();
  }

  /** Adds `by` to a counter. */
  count(name: string, labels: Labels = {}, by = 1): void {
    findSeries(this.#counters, name, labels, () => 0).value += by;
  }

  /** Sets a gauge. */
  setGauge(name: string, value: number, labels: Labels = {}): void {
    findSeries(this.#gauges, name, labels, () => 0).value = value;
  }

  /** Records a duration in milliseconds. */
  recordDuration(name: string, ms: number, labels: Labels = {}): void {
    const series = findSeries(this.#histograms, name, labels, createHistogram);
    const micros = Math.max(0, Math.round(ms * microsecondsPerMillisecond));
    series.value.recordValue(Math.min(micros, maxTrackableMicroseconds));
  }

  /** Current value of a counter; 0 when it was never counted. */
  readCounter(name: string, labels: Labels = {}): number {
    return this.#counters.get(computeSeriesKey(name, labels))?.value ?? 0;
  }

  /** Sum of a counter over all its label values. */
  readCounterTotal(name: string): number {
    let total = 0;
    for (const series of this.#counters.values()) {
      if (series.name === name) total += series.value;
    }
    return total;
  }

  /**
   * Value of a percentile (0 to 100) in milliseconds; 0 when nothing was
   * recorded.
   */
  readPercentile(
    name: string,
    percentile: number,
    labels: Labels = {},
  ): number {
    const histogram = this.#histograms.get(computeSeriesKey(name, labels))
      ?.value;
    if (histogram === undefined || histogram.totalCount === 0) return 0;
    return histogram.getValueAtPercentile(percentile) /
      microsecondsPerMillisecond;
  }

  /**
   * Formats all series in the Prometheus text format; histograms as summaries
   * in seconds.
   */
  format(): string {
    const lines: string[] = [];
    formatScalars(lines, "counter", this.#counters);
    formatScalars(lines, "gauge", this.#gauges);
    const declared = new Set<string>();
    for (const series of sortSeries(this.#histograms)) {
      if (!declared.has(series.name)) {
        declared.add(series.name);
        lines.push(`# TYPE ${series.name} summary`);
      }
      formatHistogram(lines, series);
    }
    return lines.join("\n") + "\n";
  }
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: maxTrackableMicroseconds,
    numberOfSignificantValueDigits: 3,
    autoResize: true,
    bitBucketSize: 32,
  });
}

function computeSeriesKey(name: string, labels: Labels): string {
  let key = name;
  for (const label of Object.keys(labels)) {
    key += `\u0000${label}=${labels[label]}`;
  }
  return key;
}

function findSeries<T>(
  all: Map<string, Series<T>>,
  name: string,
  labels: Labels,
  create: () => T,
): Series<T> {
  const key = computeSeriesKey(name, labels);
  let series = all.get(key);
  if (series === undefined) {
    series = { name, labels, value: create() };
    all.set(key, series);
  }
  return series;
}

function sortSeries<T>(all: ReadonlyMap<string, Series<T>>): Series<T>[] {
  return [...all.entries()].sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([, series]) => series);
}

function formatLabels(labels: Labels): string {
  const entries = Object.entries(labels);
  if (entries.length === 0) return "";
  const pairs = entries.map(([key, value]) =>
    `${key}=${JSON.stringify(value)}`
  );
  return `{${pairs.join(",")}}`;
}

function formatScalars(
  lines: string[],
  type: "counter" | "gauge",
  all: ReadonlyMap<string, Series<number>>,
): void {
  const declared = new Set<string>();
  for (const { name, labels, value } of sortSeries(all)) {
    if (!declared.has(name)) {
      declared.add(name);
      lines.push(`# TYPE ${name} ${type}`);
    }
    lines.push(`${name}${formatLabels(labels)} ${value}`);
  }
}

function formatHistogram(lines: string[], series: Series<Histogram>): void {
  const { name, labels, value: histogram } = series;
  for (const percentile of reportedPercentiles) {
    const seconds = histogram.getValueAtPercentile(percentile) / 1_000_000;
    const quantile = String(Number((percentile / 100).toPrecision(6)));
    lines.push(`${name}${formatLabels({ ...labels, quantile })} ${seconds}`);
  }
  const sum = histogram.mean * histogram.totalCount / 1_000_000;
  lines.push(`${name}_sum${formatLabels(labels)} ${sum}`);
  lines.push(`${name}_count${formatLabels(labels)} ${histogram.totalCount}`);
}
