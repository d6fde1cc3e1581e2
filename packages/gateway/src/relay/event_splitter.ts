/**
 * Splits the bytes of a server-sent event stream at event boundaries.
 *
 * A replica may fail in the middle of an event, and the next replica sends that
 * event again from its start, so only complete events are forwarded. Chunks that
 * end with an event are not copied.
 */

const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/** One or more complete events. */
export interface EventChunk {
  readonly bytes: Buffer;
  /** Last id among these events. */
  readonly lastId: number | undefined;
  /** First id among these events. */
  readonly firstId: number | undefined;
  /** Whether each id is the one before it plus 1. */
  readonly isConsecutive: boolean;
  /** Number of events with an id. */
  readonly eventCount: number;
  /** Whether any event has a field; comments alone only keep a stream open. */
  readonly hasFields: boolean;
}

const idPattern = /^id: ?(\d+)\r?$/gm;
/** A line that is neither empty nor a comment. */
const fieldPattern = /^[^:\r\n]/m;

/** Splitter of one stream. */
export class EventSplitter {
  #remainder: Buffer | undefined;

  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Size of the event that has begun but is not complete, in bytes. */
  get remainderBytes(): number {
    return this.#remainder?.length ?? 0;
  }

  /** Adds a chunk; returns the events that it completes, if any. */
  add(chunk: Buffer): EventChunk | undefined {
    const buffered = this.#remainder === undefined
      ? chunk
      : Buffer.concat([this.#remainder, chunk]);
    const end = findLastEventEnd(buffered);
    // A part of the chunk would keep all of it in memory.
    this.#remainder = end === buffered.length
      ? undefined
      : end === 0
      ? buffered
      : Buffer.from(buffered.subarray(end));
    if (end === 0) return undefined;
    return parseEvents(buffered.subarray(0, end));
  }
}

/** Offset after the last blank line; 0 if there is none. */
function findLastEventEnd(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] !== lineFeed) continue;
    if (bytes[index - 1] === lineFeed) return index + 1;
    const isCrlf = bytes[index - 1] === carriageReturn &&
      bytes[index - 2] === lineFeed;
    if (isCrlf) return index + 1;
  }
  return 0;
}

function parseEvents(bytes: Buffer): EventChunk {
  let firstId: number | undefined;
  let lastId: number | undefined;
  let eventCount = 0;
  let isConsecutive = true;
  const text = bytes.toString("latin1");
  // Unlike `matchAll`, this does not copy the pattern.
  idPattern.lastIndex = 0;
  for (
    let match = idPattern.exec(text);
    match !== null;
    match = idPattern.exec(text)
  ) {
    const id = Number(match[1]);
    firstId ??= id;
    isConsecutive &&= lastId === undefined || id === lastId + 1;
    lastId = id;
    eventCount += 1;
  }
  const hasFields = eventCount > 0 || fieldPattern.test(text);
  return { bytes, firstId, lastId, isConsecutive, eventCount, hasFields };
}
