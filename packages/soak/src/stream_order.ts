/**
 * Finds what is wrong with the events of a stream as its caller received them.
 *
 * A stream that was cut may end anywhere, but what has arrived is a beginning of
 * one replica's stream or, after a resumption, of several of one version.
 */

/** What is wrong with the events of a stream. */
export type OrderBreak =
  | "short"
  | "gap"
  | "twice"
  | "out_of_order"
  | "joined"
  | "other_bytes";

/** What a stream of one answer consists of. */
export interface StreamShape {
  /** Number of events in a complete stream. */
  readonly events: number;
  /** Whether the answer is complete according to its framing. */
  readonly isComplete: boolean;
}

interface StreamEvent {
  readonly id: number;
  readonly tokenText: string;
}

const eventPattern = /id: (\d+)\ndata: (\S+) (\d+)\n\n/y;

/** Finds the first thing wrong with a stream; undefined if nothing is. */
export function findOrderBreak(
  text: string,
  { events, isComplete }: StreamShape,
): OrderBreak | undefined {
  const { parsed, rest } = parseEvents(text);
  const seen = new Set<number>();
  let last = 0;
  for (const { id } of parsed) {
    if (id !== last + 1) return describeJump(id, last, seen);
    seen.add(id);
    last = id;
  }
  if (new Set(parsed.map(({ tokenText }) => tokenText)).size > 1) {
    return "joined";
  }
  if (last > events || !isBeginning(rest, last + 1)) return "other_bytes";
  return isComplete && (last < events || rest !== "") ? "short" : undefined;
}

function describeJump(
  id: number,
  last: number,
  seen: ReadonlySet<number>,
): OrderBreak {
  if (seen.has(id)) return "twice";
  return id > last ? "gap" : "out_of_order";
}

/** Parses the whole events at the begin of `text`. */
function parseEvents(
  text: string,
): { readonly parsed: readonly StreamEvent[]; readonly rest: string } {
  const parsed: StreamEvent[] = [];
  let at = 0;
  while (true) {
    eventPattern.lastIndex = at;
    const match = eventPattern.exec(text);
    if (match === null) return { parsed, rest: text.slice(at) };
    const [whole, id, tokenText = "", number] = match;
    if (id !== number) return { parsed, rest: text.slice(at) };
    parsed.push({ id: Number(id), tokenText });
    at += whole.length;
  }
}

/** Whether `text` may be the begin of the event `id`. */
function isBeginning(text: string, id: number): boolean {
  const known = `id: ${id}\ndata: `;
  return text.length <= known.length
    ? known.startsWith(text)
    : text.startsWith(known) && !text.includes("\n\n");
}
