/**
 * Open-loop load on gateway nodes, and its report.
 */

import { Agent } from "node:http";
import { build } from "hdr-histogram-js";
import { Random } from "@almondcrank/common/random.ts";
import { computeArrivals, type Phase } from "./arrivals.ts";
import { type RouteAnswer, sendRouteRequest } from "./route_client.ts";

/** Options of a load run. */
export interface RouteLoadOptions {
  /** Callers' addresses; arrivals are distributed over them at random. */
  readonly nodes: readonly string[];
  readonly host: string;
  /** Paths to choose from at random. */
  readonly paths: readonly string[];
  readonly key: string | undefined;
  readonly phases: readonly Phase[];
  readonly seed: number;
  readonly deadlineMs: number;
}

/** Latency percentiles in milliseconds. */
export interface RouteLatency {
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
}

/** Report of a load run. */
export interface RouteLoadReport {
  readonly requests: number;
  /** Number of answers by HTTP status; `no answer` where none came. */
  readonly byStatus: Readonly<Record<string, number>>;
  /** Answers that broke off before the end of their framing. */
  readonly broken: number;
  /** Time to first byte of complete answers with status 200. */
  readonly first: RouteLatency;
  /** Time to the end of complete answers with status 200. */
  readonly whole: RouteLatency;
}

/** Sends all requests and waits until each has ended. */
export async function runRouteLoad(
  options: RouteLoadOptions,
): Promise<RouteLoadReport> {
  const random = Random.create(options.seed);
  const agent = new Agent({ keepAlive: true });
  const startedAt = performance.now();
  const sent: Promise<RouteAnswer>[] = [];
  for (
    const [index, dueMs] of computeArrivals(options.phases, random).entries()
  ) {
    await sleep(startedAt + dueMs - performance.now());
    sent.push(sendRouteRequest({
      address: random.choose(options.nodes),
      host: options.host,
      path: random.choose(options.paths),
      id: `load-${options.seed}-${index}`,
      key: options.key,
      deadlineMs: options.deadlineMs,
      agent,
    }));
  }
  const answers = await Promise.all(sent);
  agent.destroy();
  return computeRouteReport(answers);
}

/** Computes the report of the answers of a run. */
export function computeRouteReport(
  answers: readonly RouteAnswer[],
): RouteLoadReport {
  const byStatus: Record<string, number> = {};
  for (const { status } of answers) {
    const name = status === 0 ? "no answer" : String(status);
    byStatus[name] = (byStatus[name] ?? 0) + 1;
  }
  const successful = answers.filter(({ status, isComplete }) =>
    status === 200 && isComplete
  );
  return {
    requests: answers.length,
    byStatus,
    broken:
      answers.filter(({ status, isComplete }) => status > 0 && !isComplete)
        .length,
    first: computeLatency(
      successful.map(({ firstByteMs, totalMs }) => firstByteMs ?? totalMs),
    ),
    whole: computeLatency(successful.map(({ totalMs }) => totalMs)),
  };
}

/** Formats a report as text. */
export function formatRouteReport(report: RouteLoadReport): string {
  const statuses = Object.entries(report.byStatus)
    .map(([status, count]) => `${status}: ${count}`).join(", ");
  const formatLatency = ({ p50, p99, max }: RouteLatency): string =>
    `p50 ${p50.toFixed(1)} ms, p99 ${p99.toFixed(1)} ms, max ${
      max.toFixed(1)
    } ms`;
  return [
    `${report.requests} requests; ${statuses}; ${report.broken} broken off`,
    `first bytes: ${formatLatency(report.first)}`,
    `whole answer: ${formatLatency(report.whole)}`,
  ].join("\n");
}

const microsPerMs = 1_000;

function computeLatency(times: readonly number[]): RouteLatency {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const ms of times) {
    histogram.recordValue(Math.max(1, Math.round(ms * microsPerMs)));
  }
  const read = (percentile: number): number =>
    times.length === 0
      ? 0
      : histogram.getValueAtPercentile(percentile) / microsPerMs;
  return { p50: read(50), p99: read(99), max: read(100) };
}

function sleep(ms: number): Promise<void> {
  return ms <= 0
    ? Promise.resolve()
    : new Promise((resolve) => setTimeout(resolve, ms));
}
