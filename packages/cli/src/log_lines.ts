/**
 * Reads collected log lines of nodes.
 *
 * Collectors put text before each line, such as a time of their own and the
 * node's name; the last word of it is taken as the node. A line without such a
 * text is the node's whose file it is in.
 */

/** One line of a node's log. */
export interface LogLine {
  readonly node: string;
  /** Time of day in milliseconds. */
  readonly at: number;
  readonly level: string;
  readonly part: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Parses a text of lines; what is no log line is passed over. */
export function parseLogLines(text: string, file: string): readonly LogLine[] {
  return text.split("\n").flatMap((line) => parseLogLine(line, file) ?? []);
}

function parseLogLine(line: string, file: string): LogLine | undefined {
  const start = line.indexOf('{"time":');
  if (start < 0) return undefined;
  const record = parseObject(line.slice(start));
  if (record === undefined) return undefined;
  const { time, level, part, message, ...fields } = record;
  const at = Date.parse(String(time));
  if (Number.isNaN(at)) return undefined;
  const before = line.slice(0, start).trim().split(/\s+/).at(-1) ?? "";
  return {
    node: before === "" ? file : before,
    at,
    level: String(level),
    part: String(part),
    message: String(message),
    fields,
  };
}

function parseObject(
  text: string,
): Readonly<Record<string, unknown>> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === "object" && value !== null
      ? value as Readonly<Record<string, unknown>>
      : undefined;
  } catch {
    // A line that was cut off when its process ended.
    return undefined;
  }
}
