/**
 * Reports of load runs: latencies, on-time share, tokens and reasons of failures.
 */

import { build, type Histogram } from "hdr-histogram-js";
import type { LatencyTarget } from "@almondcrank/common/configuration.ts";
import { formatTable } from "@almondcrank/common/text_table.ts";
import type { RequestResult } from "./load_client.ts";

const microsecondsPerMillisecond = 1_000;
const millisecondsPerSecond = 1_000;
/** Percentile of the times between tokens that must meet the target. */
const targetPercentile = 95;

/** Number of latencies, and their percentiles in milliseconds. */
export interface LatencyPercentiles {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly max: number;
}

/** Counts and latency of the requests due in one second of a run. */
export interface SecondStats {
  /** Seconds since the start. */
  readonly second: number;
  /** Requests due. */
  readonly due: number;
  readonly onTime: number;
  readonly refused: number;
  readonly failed: number;
  /** 95th percentile of the time to first output, in milliseconds. */
  readonly firstP95: number;
}

/** Report of one run. */
export interface LoadReport {
  /** Name of the target. */
  readonly target: string;
  /** Time at which the last request was due. */
  readonly seconds: number;
  readonly requests: number;
  readonly answered: number;
  readonly refused: number;
  readonly failed: number;
  /** Share of all requests that were answered on time. */
  readonly onTimeShare: number;
  readonly firstToken: LatencyPercentiles;
  readonly betweenTokens: LatencyPercentiles;
  /** Latency to the end of an answer. */
  readonly whole: LatencyPercentiles;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly cachedTokens: number;
  readonly recomputedTokens: number;
  /** Attempts sent to endpoints per answered chat turn. */
  readonly attemptsPerAnswer: number;
  /** Number of refused and failed requests by reason. */
  readonly reasons: Readonly<Record<string, number>>;
  readonly timeline: readonly SecondStats[];
}

/** Computes the report of a run. */
export function computeReport(
  target: string,
  results: readonly RequestResult[],
  latencyTarget: LatencyTarget,
): LoadReport {
  const answered = results.filter((result) => result.outcome === "answered");
  const onTime = answered.filter((result) => isOnTime(result, latencyTarget));
  const end = Math.max(0, ...results.map((result) => result.dueMs));
  const chats = answered.filter((result) => result.usage !== undefined);
  const attempts = sumUsage(chats, (usage) => usage.attempts);
  return {
    target,
    seconds: end / millisecondsPerSecond,
    requests: results.length,
    answered: answered.length,
    refused: countOutcome(results, "refused"),
    failed: countOutcome(results, "failed"),
    onTimeShare: results.length === 0 ? 0 : onTime.length / results.length,
    firstToken: computeLatency(chats.flatMap((r) => r.firstOutputMs ?? [])),
    betweenTokens: computeLatency(chats.flatMap((r) => r.gapsMs)),
    whole: computeLatency(answered.map((r) => r.totalMs)),
    promptTokens: sumUsage(chats, (usage) => usage.prompt_tokens),
    outputTokens: sumUsage(chats, (usage) => usage.completion_tokens),
    cachedTokens: sumUsage(
      chats,
      (usage) => usage.prompt_tokens_details.cached_tokens,
    ),
    recomputedTokens: sumUsage(chats, (usage) => usage.recomputed_tokens),
    attemptsPerAnswer: chats.length === 0 ? 0 : attempts / chats.length,
    reasons: countReasons(results),
    timeline: computeTimeline(results, latencyTarget),
  };
}

/**
 * Whether an answer met its latency target: the first token in time, and at
 * most 5 in 100 times between tokens above the limit.
 */
export function isOnTime(
  result: RequestResult,
  latencyTarget: LatencyTarget,
): boolean {
  if (result.outcome !== "answered" || result.firstOutputMs === undefined) {
    return false;
  }
  if (result.firstOutputMs > latencyTarget.firstTokenMs) return false;
  const slow = result.gapsMs.filter((gap) =>
    gap > latencyTarget.betweenTokensMs
  );
  const allowed = result.gapsMs.length * (100 - targetPercentile) / 100;
  return slow.length <= allowed;
}

function countOutcome(
  results: readonly RequestResult[],
  outcome: RequestResult["outcome"],
): number {
  return results.filter((result) => result.outcome === outcome).length;
}

function countReasons(
  results: readonly RequestResult[],
): Readonly<Record<string, number>> {
  const reasons: Record<string, number> = {};
  for (const { reason } of results) {
    if (reason !== undefined) reasons[reason] = (reasons[reason] ?? 0) + 1;
  }
  return reasons;
}

function sumUsage(
  results: readonly RequestResult[],
  read: (usage: NonNullable<RequestResult["usage"]>) => number,
): number {
  return results.reduce(
    (sum, { usage }) => usage === undefined ? sum : sum + read(usage),
    0,
  );
}

function createHistogram(values: readonly number[]): Histogram {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const value of values) {
    const micros = Math.round(value * microsecondsPerMillisecond);
    histogram.recordValue(Math.max(0, micros));
  }
  return histogram;
}

function computeLatency(values: readonly number[]): LatencyPercentiles {
  const histogram = createHistogram(values);
  const read = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
  return {
    count: values.length,
    p50: read(50),
    p95: read(95),
    p99: read(99),
    max: histogram.maxValue / microsecondsPerMillisecond,
  };
}

function computeTimeline(
  results: readonly RequestResult[],
  latencyTarget: LatencyTarget,
): readonly SecondStats[] {
  const seconds = new Map<number, RequestResult[]>();
  for (const result of results) {
    const second = Math.floor(result.dueMs / millisecondsPerSecond);
    const due = seconds.get(second) ?? [];
    due.push(result);
    seconds.set(second, due);
  }
  return [...seconds.entries()].sort(([a], [b]) => a - b).map((
    [second, due],
  ) => ({
    second,
    due: due.length,
    onTime: due.filter((result) => isOnTime(result, latencyTarget)).length,
    refused: countOutcome(due, "refused"),
    failed: countOutcome(due, "failed"),
    firstP95: computeLatency(due.flatMap((r) => r.firstOutputMs ?? [])).p95,
  }));
}

/** Formats reports side by side as a table. */
export function formatReports(reports: readonly LoadReport[]): string {
  const rows: readonly [string, (report: LoadReport) => string][] = [
    ["requests", (r) => `${r.requests} in ${r.seconds.toFixed(1)} s`],
    ["answered", (r) => String(r.answered)],
    ["refused", (r) => String(r.refused)],
    ["failed", (r) => String(r.failed)],
    ["on time", (r) => `${(r.onTimeShare * 100).toFixed(2)} %`],
    ["first token ms p50/p95/p99", (r) => formatLatency(r.firstToken)],
    ["between tokens ms p50/p95/p99", (r) => formatLatency(r.betweenTokens)],
    ["whole answer ms p50/p95/p99", (r) => formatLatency(r.whole)],
    ["prompt tokens", (r) => String(r.promptTokens)],
    ["output tokens", (r) => String(r.outputTokens)],
    ["cached tokens", (r) => String(r.cachedTokens)],
    ["recomputed tokens", (r) => String(r.recomputedTokens)],
    ["attempts per answer", (r) => r.attemptsPerAnswer.toFixed(3)],
    ["reasons", (r) => formatReasons(r.reasons)],
  ];
  return formatTable(
    ["", ...reports.map((report) => report.target)],
    rows.map(([label, read]) => [label, ...reports.map(read)]),
  );
}

function formatLatency(latency: LatencyPercentiles): string {
  return [latency.p50, latency.p95, latency.p99].map((ms) => ms.toFixed(1))
    .join(" / ");
}

function formatReasons(reasons: Readonly<Record<string, number>>): string {
  const entries = Object.entries(reasons);
  if (entries.length === 0) return "none";
  return entries.map(([reason, count]) => `${reason} ${count}`).join(", ");
}
