/**
 * Keeps the origins of streams in the platform's store while a service has
 * several versions, so that they outlive an end of all nodes at once.
 *
 * Each node writes down what began there since its last write, in segments of its
 * own (`OriginRing`), so no node depends on another one and none writes over
 * another's. The time between writes grows with the number of nodes, so that all
 * nodes together make a bounded number of calls. Nothing waits for a write.
 *
 * A node reads the segments when it starts and when it needs a stream that
 * neither it nor a peer knows, if its copy is not recent.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type {
  ObjectStore,
  StoredObject,
} from "@almondcrank/infrastructure/object_store.ts";
import { z } from "zod";
import {
  OriginRing,
  type SegmentWrite,
  splitKeys,
} from "../choice/origin_ring.ts";
import type { StreamOrigin } from "../choice/stream_origins.ts";

const segmentPrefix = "stream-origins";
/** Shortest time between two writes of a node. */
const minWriteMs = 250;
/** Writes of all nodes together, per second. */
const maxWritesPerSecond = 200;
/** Shortest age of a copy at which it is read again, for one node. */
const minReadMs = 300;
/** Reads of all segments by all nodes together, per second. */
const maxReadsPerSecond = 50;
/** Longest wait of a request for a read. */
const findTimeoutMs = 500;

const storedSegment = z.object({
  incarnation: z.string(),
  at: z.number(),
  origins: z.array(z.tuple([z.string(), z.string(), z.string()])),
});

/** Dependencies of an archive. */
export interface OriginArchiveOptions {
  readonly store: ObjectStore;
  /** Highest era of the store that this node knows, by whatever call. */
  readonly readEra: () => number;
  readonly clock: Clock;
  /** Time of day on which the nodes agree, in milliseconds. */
  readonly readWallTime: () => number;
  readonly node: string;
  readonly incarnation: string;
  /** Number of nodes that run, with this one. */
  readonly countNodes: () => number;
  /** Time for which a stream may be taken up again. */
  readonly readHorizonMs: () => number;
  readonly metrics: Metrics;
  readonly log: Log;
}

/** Archive of one node. */
export class OriginArchive implements Disposable {
  readonly #options: OriginArchiveOptions;
  readonly #ring: OriginRing;
  readonly #stopped = new AbortController();
  /** Versions of this node's objects, by slot. */
  readonly #versions = new Map<number, number>();
  #copy: ReadonlyMap<string, StreamOrigin> = new Map();
  #copyAt = -Infinity;
  #hasCopy = false;
  #reading: Promise<void> | undefined;
  /** Era of the store that holds what was written; undefined before. */
  #era: number | undefined;
  #hasFailed = false;

  private constructor(options: OriginArchiveOptions) {
    this.#options = options;
    this.#ring = OriginRing.create(options.incarnation);
  }

  static create(options: OriginArchiveOptions): OriginArchive {
    return new OriginArchive(options);
  }

  /** Begins to read and write. */
  start(): void {
    void this.#run();
  }

  /** Whether the segments have been read since this node's start. */
  get hasRead(): boolean {
    return this.#hasCopy;
  }

  /** Records streams of this node that are to be written down. */
  record(origins: ReadonlyMap<string, StreamOrigin>): void {
    this.#ring.add(origins);
  }

  /** Forgets a stream that is complete. */
  complete(key: string): void {
    this.#ring.remove(key);
  }

  /** Finds a stream that some node wrote down. */
  async find(key: string): Promise<StreamOrigin | undefined> {
    const known = this.#copy.get(key);
    if (known !== undefined) return known;
    const { clock } = this.#options;
    const isRecent = clock.now() - this.#copyAt < this.#computeReadMs();
    if (!isRecent) {
      await Promise.race([
        this.#read(),
        clock.sleep(findTimeoutMs),
      ]);
    }
    return this.#copy.get(key);
  }

  dispose(): void {
    this.#stopped.abort();
  }

  async #run(): Promise<void> {
    const { clock } = this.#options;
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      if (this.#hasCopy) await this.#write();
      else await this.#read();
      await clock.sleep(this.#computeWriteMs(), signal);
    }
  }

  #computeWriteMs(): number {
    const sharedMs = this.#options.countNodes() * 1_000 / maxWritesPerSecond;
    return Math.max(minWriteMs, sharedMs);
  }

  #computeReadMs(): number {
    const sharedMs = this.#options.countNodes() * 1_000 / maxReadsPerSecond;
    return Math.max(minReadMs, sharedMs);
  }

  /** Reads all segments; those who need them at the same time share a read. */
  #read(): Promise<void> {
    this.#reading ??= this.#readOnce().finally(() => {
      this.#reading = undefined;
    });
    return this.#reading;
  }

  async #readOnce(): Promise<void> {
    const { store, clock } = this.#options;
    const startedAt = clock.now();
    const list = await store.list(segmentPrefix);
    list.caseOf({
      Left: (error) => this.#recordFailure("read", error.message),
      Right: ({ objects }) => {
        this.#hasFailed = false;
        this.#learn(objects);
        this.#copyAt = startedAt;
        this.#hasCopy = true;
      },
    });
  }

  #learn(objects: readonly StoredObject[]): void {
    const { log } = this.#options;
    const found = new Map<string, StreamOrigin>();
    let malformed = 0;
    for (const object of objects) {
      const segment = parseSegment(object.value);
      if (segment === undefined) malformed += 1;
      for (const [key, origin] of segment?.origins ?? []) {
        found.set(key, origin);
      }
      if (!this.#hasCopy) this.#keepEarlier(object, segment);
    }
    if (malformed > 0) {
      log.warn("objects with origins of streams are malformed and left out.", {
        malformed,
      });
    }
    this.#copy = found;
  }

  /** Keeps a segment of this node's earlier start until it is too old. */
  #keepEarlier(
    { key, version }: StoredObject,
    segment: ParsedSegment | undefined,
  ): void {
    const prefix = `${segmentPrefix}/${this.#options.node}-`;
    const slot = Number(key.slice(prefix.length));
    if (!key.startsWith(prefix) || !Number.isSafeInteger(slot)) return;
    this.#versions.set(slot, version);
    if (segment !== undefined) this.#ring.keepSlot(slot, segment.at);
  }

  async #write(): Promise<void> {
    const { readEra, readWallTime, readHorizonMs } = this.#options;
    const era = readEra();
    if (era !== this.#era) {
      if (this.#era !== undefined) this.#ring.markLost();
      this.#era = era;
    }
    const due = this.#ring.take(readWallTime(), readHorizonMs());
    if (due !== undefined) await this.#writeSegment(due);
    this.#options.metrics.setGauge(
      "stream_origins_dropped",
      this.#ring.dropped,
    );
  }

  async #writeSegment({ slot, segment }: SegmentWrite): Promise<void> {
    const { store, node, metrics } = this.#options;
    const version = this.#versions.get(slot);
    const written = await store.write(
      `${segmentPrefix}/${node}-${slot}`,
      segment,
      version === undefined ? { kind: "absent" } : { kind: "version", version },
    );
    written.caseOf({
      Left: (error) => {
        this.#ring.markFailed(slot);
        this.#recordFailure("written", error.message);
      },
      Right: (outcome) => {
        this.#hasFailed = false;
        switch (outcome.kind) {
          case "written":
            this.#versions.set(slot, outcome.version);
            metrics.count("stream_origin_writes_total", { outcome: "written" });
            return;
          case "conflict":
            return this.#handleConflict(slot, outcome.current);
        }
      },
    });
  }

  /**
   * Writes again after a write whose answer was lost, or elsewhere if a late
   * write of an earlier start took the slot.
   */
  #handleConflict(slot: number, current: StoredObject | undefined): void {
    const { metrics, incarnation } = this.#options;
    metrics.count("stream_origin_writes_total", { outcome: "conflict" });
    this.#ring.markFailed(slot);
    if (current === undefined) {
      this.#versions.delete(slot);
      return;
    }
    this.#versions.set(slot, current.version);
    const segment = parseSegment(current.value);
    const isForeign = segment !== undefined &&
      segment.incarnation !== incarnation;
    if (isForeign) this.#ring.keepSlot(slot, segment.at);
  }

  /** Counts each failure and logs the first of several in a row. */
  #recordFailure(action: "read" | "written", reason: string): void {
    const { log, metrics } = this.#options;
    const outcome = action === "read" ? "read_failed" : "failed";
    metrics.count("stream_origin_writes_total", { outcome });
    if (this.#hasFailed) return;
    this.#hasFailed = true;
    log.warn(`origins of streams could not be ${action}, trying again.`, {
      reason,
    });
  }
}

/** A segment with its streams by key. */
interface ParsedSegment {
  readonly incarnation: string;
  readonly at: number;
  readonly origins: ReadonlyMap<string, StreamOrigin>;
}

/** Parses a segment; undefined if it is malformed or torn. */
function parseSegment(value: unknown): ParsedSegment | undefined {
  const { data } = storedSegment.safeParse(value);
  if (data === undefined) return undefined;
  const origins = new Map<string, StreamOrigin>();
  for (const [service, version, text] of data.origins) {
    const keys = splitKeys(text);
    if (keys === undefined) return undefined;
    for (const key of keys) origins.set(key, { service, version });
  }
  return { incarnation: data.incarnation, at: data.at, origins };
}
