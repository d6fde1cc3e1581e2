/**
 * Composes the story of one request from the lines of all nodes.
 *
 * Decisions are logged when a request ends, so each stands at the time that its
 * line names. Beside them stand the lines that tell what the request's nodes
 * came to believe meanwhile.
 */

import type { LogLine } from "./log_lines.ts";

/** A line at the time of what it tells. */
export interface TimelineEntry {
  readonly at: number;
  readonly line: LogLine;
  /** Whether the line is about the request itself. */
  readonly isAboutRequest: boolean;
}

/** Time before and after a request in which a node's beliefs matter to it. */
const contextMs = 1_000;
/** Parts whose lines tell what a node believes. */
const beliefParts: ReadonlySet<string> = new Set([
  "cluster",
  "duties",
  "feed",
  "gateway",
  "platform",
]);

/** Lines about a request in order; empty when there is none. */
export function composeTimeline(
  lines: readonly LogLine[],
  requestId: string,
): readonly TimelineEntry[] {
  const own = lines.filter(({ fields }) => fields["request"] === requestId);
  const story = own.map((line): TimelineEntry => ({
    at: computeTime(line, own),
    line,
    isAboutRequest: true,
  }));
  if (story.length === 0) return [];
  const from = Math.min(...story.map(({ at }) => at)) - contextMs;
  const to = Math.max(...story.map(({ at }) => at)) + contextMs;
  const nodes = new Set(own.map(({ node }) => node));
  const context = lines.filter((line) =>
    nodes.has(line.node) && line.at >= from && line.at <= to &&
    beliefParts.has(line.part)
  );
  return [
    ...story,
    ...context.map((line): TimelineEntry => ({
      at: line.at,
      line,
      isAboutRequest: false,
    })),
  ].sort((a, b) => a.at - b.at);
}

/** Time of a decision, from the end of its request on the same node. */
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

/** Formats a story, times relative to its first own line. */
export function formatTimeline(story: readonly TimelineEntry[]): string {
  const start = story.find(({ isAboutRequest }) => isAboutRequest)?.at ?? 0;
  const rows = story.map(({ at, line, isAboutRequest }) => {
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
