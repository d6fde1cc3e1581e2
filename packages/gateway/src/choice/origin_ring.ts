/**
 * Decides in which objects a node writes down the origins of its streams.
 *
 * While versions are mixed, every stream that begins on any node may be needed
 * until its caller has come back. A node fills one small
 * segment at a time and rewrites only that; a full one is left as it is until its
 * streams are too old to be taken up, and then its slot is used again. So neither
 * the writes nor the number of objects grow with time.
 */

import type { StreamOrigin } from "./stream_origins.ts";

/** Characters of a key: 48 bits in base64url. */
export const originKeyLength = 8;

/** Streams of one service and version: keys, one after the other. */
export type OriginGroup = readonly [
  service: string,
  version: string,
  keys: string,
];

/** A segment as it is stored. */
export interface StoredSegment {
  /** Start of the process that wrote it. */
  readonly incarnation: string;
  /** Time of day of its last stream, in milliseconds. */
  readonly at: number;
  readonly origins: readonly OriginGroup[];
}

/** A segment to write, and where. */
export interface SegmentWrite {
  readonly slot: number;
  readonly segment: StoredSegment;
}

/** Streams in a segment; a rewrite carries up to as many that are there. */
const segmentStreams = 256;
/** Most streams that wait to be written. */
const maxPending = 40_000;

/** A segment of this start. */
interface OwnSegment {
  /** Time of day at which its last stream began. */
  at: number;
  readonly origins: Map<string, StreamOrigin>;
  /** Whether its content has to be written, once more after a restore. */
  isDue: boolean;
}

/** Segments of one node. */
export class OriginRing {
  readonly #incarnation: string;
  readonly #own = new Map<number, OwnSegment>();
  /** Times of the segments of earlier starts of this node, by slot. */
  readonly #kept = new Map<number, number>();
  /** Streams that are in no segment yet. */
  readonly #pending = new Map<string, StreamOrigin>();
  #current: OwnSegment | undefined;
  #dropped = 0;

  private constructor(incarnation: string) {
    this.#incarnation = incarnation;
  }

  static create(incarnation: string): OriginRing {
    return new OriginRing(incarnation);
  }

  /** Number of streams that were dropped, since too many waited. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Adds streams that began. */
  add(origins: ReadonlyMap<string, StreamOrigin>): void {
    for (const [key, origin] of origins) this.#pending.set(key, origin);
    for (const oldest of this.#pending.keys()) {
      if (this.#pending.size <= maxPending) return;
      this.#pending.delete(oldest);
      this.#dropped += 1;
    }
  }

  /** Forgets a stream that is complete and is in no segment yet. */
  remove(key: string): void {
    this.#pending.delete(key);
  }

  /** Keeps a slot that holds a segment of an earlier start of this node. */
  keepSlot(slot: number, at: number): void {
    const own = this.#own.get(slot);
    this.#own.delete(slot);
    this.#kept.set(slot, at);
    if (own === undefined) return;
    if (own === this.#current) this.#current = undefined;
    this.add(own.origins);
  }

  /** Has all segments of this start written again, as the store lost some. */
  markLost(): void {
    for (const segment of this.#own.values()) segment.isDue = true;
  }

  /** Has a segment written again, since its write failed. */
  markFailed(slot: number): void {
    const segment = this.#own.get(slot);
    if (segment !== undefined) segment.isDue = true;
  }

  /**
   * Takes the segment that is to be written next; undefined if none is.
   *
   * @param wallTime Time of day in milliseconds.
   * @param horizonMs Time for which a stream may be taken up again.
   */
  take(wallTime: number, horizonMs: number): SegmentWrite | undefined {
    this.#expire(wallTime - horizonMs);
    this.#fill(wallTime);
    for (const [slot, segment] of this.#own) {
      if (!segment.isDue) continue;
      segment.isDue = false;
      const origins = groupOrigins(segment.origins);
      const at = Math.round(segment.at);
      return { slot, segment: { incarnation: this.#incarnation, at, origins } };
    }
    return undefined;
  }

  #expire(before: number): void {
    for (const [slot, segment] of this.#own) {
      if (segment.at >= before) continue;
      this.#own.delete(slot);
      if (segment === this.#current) this.#current = undefined;
    }
    for (const [slot, at] of this.#kept) {
      if (at < before) this.#kept.delete(slot);
    }
  }

  #fill(wallTime: number): void {
    for (const [key, origin] of this.#pending) {
      const isFull = this.#current === undefined ||
        this.#current.origins.size >= segmentStreams;
      const segment = isFull ? this.#addSegment() : this.#current;
      segment?.origins.set(key, origin);
      if (segment === undefined) continue;
      segment.at = wallTime;
      segment.isDue = true;
    }
    this.#pending.clear();
  }

  #addSegment(): OwnSegment {
    let slot = 0;
    while (this.#own.has(slot) || this.#kept.has(slot)) slot += 1;
    const segment: OwnSegment = { at: 0, origins: new Map(), isDue: false };
    this.#own.set(slot, segment);
    this.#current = segment;
    return segment;
  }
}

/** Groups streams by service and version. */
export function groupOrigins(
  origins: ReadonlyMap<string, StreamOrigin>,
): readonly OriginGroup[] {
  const groups = new Map<string, [string, string, string]>();
  for (const [key, { service, version }] of origins) {
    const name = JSON.stringify([service, version]);
    const group = groups.get(name);
    if (group === undefined) groups.set(name, [service, version, key]);
    else group[2] += key;
  }
  return [...groups.values()];
}

/** Lists the streams of a group; undefined if it is torn. */
export function splitKeys(keys: string): readonly string[] | undefined {
  if (keys.length % originKeyLength !== 0) return undefined;
  const split: string[] = [];
  for (let at = 0; at < keys.length; at += originKeyLength) {
    split.push(keys.slice(at, at + originKeyLength));
  }
  return split;
}
