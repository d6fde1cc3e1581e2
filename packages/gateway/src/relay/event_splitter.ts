/**
 * Cuts the bytes of an event stream at the ends of events.
 *
 * A replica may stop in the middle of an event, and another one repeats that
 * event whole, so only whole events are handed on. Chunks that end with an event
 * pass without a copy.
 */

const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/** Whole events of one chunk. */
export interface EventChunk {
  readonly bytes: Buffer;
  /** Id of the last of these events that has one. */
  readonly lastId: number | undefined;
  /** Id of the first of these events that has one. */
  readonly firstId: number | undefined;
  readonly events: number;
}

const idPattern = /^id: ?(\d+)\r?$/gm;

/** Splits one stream. */
export class EventSplitter {
  #rest: Buffer | undefined;

  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Takes the bytes after the last whole event, for an answer that ended. */
  takeRemainder(): Buffer | undefined {
    const rest = this.#rest;
    this.#rest = undefined;
    return rest;
  }

  /** Takes a chunk in; returns the events that are whole now. */
  add(chunk: Buffer): EventChunk | undefined {
    const all = this.#rest === undefined
      ? chunk
      : Buffer.concat([this.#rest, chunk]);
    const end = findLastEventEnd(all);
    this.#rest = end === all.length ? undefined : all.subarray(end);
    if (end === 0) return undefined;
    return parseEvents(all.subarray(0, end));
  }
}

/** Offset after the last blank line, 0 when there is none. */
function findLastEventEnd(bytes: Buffer): number {
  for (let at = bytes.length - 1; at > 0; at -= 1) {
    if (bytes[at] !== lineFeed) continue;
    if (bytes[at - 1] === lineFeed) return at + 1;
    const isCrlf = bytes[at - 1] === carriageReturn &&
      bytes[at - 2] === lineFeed;
    if (isCrlf) return at + 1;
  }
  return 0;
}

function parseEvents(bytes: Buffer): EventChunk {
  let firstId: number | undefined;
  let lastId: number | undefined;
  let events = 0;
  for (const match of bytes.toString("latin1").matchAll(idPattern)) {
    const id = Number(match[1]);
    firstId ??= id;
    lastId = id;
    events += 1;
  }
  return { bytes, firstId, lastId, events };
}
