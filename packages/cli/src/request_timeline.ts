/**
 * Composes the timeline of one request from the log lines of all nodes.
 *
 * Nodes log their decisions when a request ends, so each decision is placed at
 * the time given in its line. Lines about the view that these nodes have of the
 * system are included for context.
 */

import type { LogLine } from "./log_lines.ts";

/** A log line at the time of the event that it reports. */
export interface TimelineEntry {
  /** Wall-clock time in milliseconds since the epoch. */
  readonly at: number;
  readonly line: LogLine;
  /** Whether the line is about the request itself. */
  readonly isAboutRequest: boolean;
}

/** Time before and after a request from which context lines are taken. */
const contextMs = 1_000;
/** Parts whose lines report a node's view of the system. */
const contextParts: ReadonlySet<string> = new Set([
  "cluster",
  "duties",
  "feed",
  "gateway",
  "platform",
]);

/**
 * Lists the lines about a request and their context in order of time; empty
 * when no line is about the request.
 */
export function composeTimeline(
  lines: readonly LogLine[],
  requestId: string,
): readonly TimelineEntry[] {
  const own = lines.filter(({ fields }) => fields["request"] === requestId);
  const timeline = own.map((line): TimelineEntry => ({
    at: computeTime(line, own),
    line,
    isAboutRequest: true,
  }));
  if (timeline.length === 0) return [];
  const from = Math.min(...timeline.map(({ at }) => at)) - contextMs;
  const to = Math.max(...timeline.map(({ at }) => at)) + contextMs;
  const nodes = new Set(own.map(({ node }) => node));
  const context = lines.filter((line) =>
    nodes.has(line.node) && line.at >= from && line.at <= to &&
    contextParts.has(line.part)
  );
  return [
    ...timeline,
    ...context.map((line): TimelineEntry => ({
      at: line.at,
      line,
      isAboutRequest: false,
    })),
  ].sort((a, b) => a.at - b.at);
}

/**
 * Computes the time of a decision from the line that ends the request on the
 * same node; without one, the time of the line itself.
 */
function computeTime(line: LogLine, own: readonly LogLine[]): number {
  const afterMs = line.fields["afterMs"];
  if (typeof afterMs !== "number") return line.at;
  const end = own.find(({ node, fields }) =>
    node === line.node && typeof fields["ms"] === "number"
  );
  return end === undefined
    ? line.at
    : end.at - Number(end.fields["ms"]) + afterMs;
}

/** Formats a timeline; times count from the first line about the request. */
export function formatTimeline(timeline: readonly TimelineEntry[]): string {
  const start = timeline.find(({ isAboutRequest }) => isAboutRequest)?.at ?? 0;
  const rows = timeline.map(({ at, line, isAboutRequest }) => {
    const ms = Math.round(at - start);
    const mark = isAboutRequest ? "*" : " ";
    const time = `${ms >= 0 ? "+" : ""}${ms} ms`.padStart(10);
    return `${mark} ${time}  ${line.node}  ${line.part}: ${line.message}${
      formatFields(line.fields)
    }`;
  });
  return rows.join("\n");
}

function formatFields(fields: LogLine["fields"]): string {
  return Object.entries(fields)
    .filter(([name]) => name !== "request" && name !== "afterMs")
    .map(([name, value]) => ` ${name}=${JSON.stringify(value)}`)
    .join("");
}
