/**
 * Parses collected log lines of nodes.
 *
 * Collectors put text before each line, such as their own time and the node's
 * name; its last word is taken as the node. A line without such text belongs to
 * the node of its file.
 */

/** One line of a node's log. */
export interface LogLine {
  readonly node: string;
  /** Wall-clock time in milliseconds since the epoch. */
  readonly at: number;
  readonly level: string;
  readonly part: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Parses the log lines of a text and skips all others.
 *
 * @param fileNode Node of lines without text before them.
 */
export function parseLogLines(
  text: string,
  fileNode: string,
): readonly LogLine[] {
  return text.split("\n").flatMap((line) => parseLogLine(line, fileNode) ?? []);
}

function parseLogLine(line: string, fileNode: string): LogLine | undefined {
  const start = line.indexOf('{"time":');
  if (start < 0) return undefined;
  const record = parseObject(line.slice(start));
  if (record === undefined) return undefined;
  const { time, level, part, message, ...fields } = record;
  const at = Date.parse(String(time));
  if (Number.isNaN(at)) return undefined;
  const prefix = line.slice(0, start).trim().split(/\s+/).at(-1) ?? "";
  return {
    node: prefix === "" ? fileNode : prefix,
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
    // The line was cut off when its process ended.
    return undefined;
  }
}
