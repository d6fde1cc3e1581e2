/**
 * This node's copy of a feed: the objects of one kind in the platform's store.
 *
 * The copy includes its freshness: `confirmedAt` is a time at which it certainly
 * matched the store. It is read from the store or from a peer, and an equal copy
 * of a peer confirms it too.
 *
 * The store may come back from an older copy of itself. Objects that this node
 * knows in a newer state than the restored store are retained until they are
 * written again, and for a short time nothing confirms the copy, so that peers
 * can send newer objects first.
 */

import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import type { Hasher } from "@almondcrank/common/hashing.ts";
import type {
  ObjectList,
  StoredObject,
  WatchBatch,
} from "@almondcrank/infrastructure/object_store.ts";
import { readStoreEra } from "@almondcrank/infrastructure/store_version.ts";

/** Kinds of objects that every node keeps a copy of. */
export const feedKinds = ["configuration", "replicas"] as const;
export type FeedKind = (typeof feedKinds)[number];

/** Version of a copy; equal copies have the same digest. */
export interface FeedVersion {
  /** Highest revision of the store that the copy includes. */
  readonly asOf: number;
  /** Hash over the keys and revisions of the objects. */
  readonly digest: number;
}

/** A copy as nodes send it to each other. */
export interface FeedSnapshot extends FeedVersion {
  readonly objects: readonly StoredObject[];
}

/** Time after a restore in which only the state before it is trusted. */
const restoreHoldMs = 600;
/** Time after a restore in which copies of one version may still differ. */
const restoreMergeMs = 10_000;

/** Age up to which a node's last read shows that it reads the store. */
const readerWindowMs = 2_500;

/** Last read of the store by a node. */
export interface FeedReading {
  readonly node: string;
  /** Monotonic time in milliseconds. */
  readonly at: number;
}

/** Options of a feed. */
export interface FeedOptions {
  /**
   * Whether an object holds a newer state than a restored one. Without it, the
   * restored store is always right.
   */
  readonly isNewer?: (held: StoredObject, restored: StoredObject) => boolean;
}

/** Copy of one feed. */
export class FeedState {
  readonly #hasher: Hasher;
  readonly #options: FeedOptions;
  readonly #objects = new Map<string, StoredObject>();
  readonly #changed = Emitter.create<void>();
  #asOf = 0;
  /** Highest revision from which the copy has some change; at least `#asOf`. */
  #knownTo = 0;
  #digest = 0;
  #confirmedAt = -Infinity;
  #freshAt = -Infinity;
  #lastReadAt = -Infinity;
  #precedingReadAt = -Infinity;
  #watchRevision: number | undefined;
  #lastOutageAt = -Infinity;
  #restoredAt = -Infinity;
  #reader: FeedReading | undefined;

  private constructor(hasher: Hasher, options: FeedOptions) {
    this.#hasher = hasher;
    this.#options = options;
  }

  static create(hasher: Hasher, options: FeedOptions = {}): FeedState {
    return new FeedState(hasher, options);
  }

  /** Fired when objects were added, changed or removed. */
  readonly onChanged: Event<void> = this.#changed.event;

  get isSynced(): boolean {
    return this.#asOf > 0;
  }

  get version(): FeedVersion {
    return { asOf: this.#asOf, digest: this.#digest };
  }

  /** Monotonic time at which the copy was last known to match the store. */
  get confirmedAt(): number {
    return this.#confirmedAt;
  }

  /**
   * Monotonic time before which no change that is being applied was made. A watch
   * tells changes as they are made; others may be as old as the last confirmation.
   */
  get provenAt(): number {
    return Math.max(this.#confirmedAt, this.#freshAt);
  }

  /** Monotonic time at which the store last answered this node. */
  get lastReadAt(): number {
    return this.#lastReadAt;
  }

  /** Monotonic time at which the store last answered a node of lower rank. */
  get precedingReadAt(): number {
    return this.#precedingReadAt;
  }

  /**
   * First node by name that has read the store lately, for other nodes; undefined
   * if none has.
   */
  findReader(self: string, now: number): FeedReading | undefined {
    const own = { node: self, at: this.#lastReadAt };
    const readings = [own, this.#reader].filter((reading) =>
      reading !== undefined && now - reading.at < readerWindowMs
    );
    return readings.sort((a, b) => (a!.node < b!.node ? -1 : 1))[0];
  }

  /** Records that a node read the store, as some node reported. */
  recordReader(reading: FeedReading): void {
    const present = this.#reader;
    const isReplaced = present === undefined || reading.node <= present.node ||
      reading.at - present.at > readerWindowMs;
    if (isReplaced) this.#reader = reading;
  }

  /** Monotonic time at which the store last failed to answer some node. */
  get lastOutageAt(): number {
    return this.#lastOutageAt;
  }

  /** Monotonic time at which this node learned that the store was restored. */
  get restoredAt(): number {
    return this.#restoredAt;
  }

  /** Whether nothing confirms the copy at `now`, after a restore. */
  isHeld(now: number): boolean {
    return this.#retainsObjects && now - this.#restoredAt < restoreHoldMs;
  }

  /** Whether a peer's copy may hold newer objects than one of the same version. */
  isMerging(now: number): boolean {
    return this.#retainsObjects && now - this.#restoredAt < restoreMergeMs;
  }

  /** Revision to watch from; `undefined` if a list is needed first. */
  get watchRevision(): number | undefined {
    return this.#watchRevision;
  }

  listObjects(): readonly StoredObject[] {
    return [...this.#objects.values()];
  }

  /** Applies a full list that was requested at `sentAt`. */
  applyList(list: ObjectList, sentAt: number): void {
    if (list.version < this.#asOf) return this.#applyOlderList(list);
    this.#recordEra(list.version, sentAt);
    this.#replaceAll(list.objects, list.version);
    this.#watchRevision = list.version;
    this.#knownTo = Math.max(this.#knownTo, list.endVersion ?? 0);
    this.#advance(list.version);
    this.confirm(sentAt);
  }

  /** Applies the result of a watch that was sent at `sentAt`. */
  applyBatch(batch: WatchBatch, sentAt: number): void {
    if (batch.changes.length > 0) this.#freshAt = this.#lastReadAt;
    for (const change of batch.changes) {
      switch (change.kind) {
        case "written":
          this.#set(change.object);
          break;
        case "removed":
          this.#remove(change.key, change.version);
          break;
      }
    }
    // An empty result does not advance the watch, so that a change that the
    // store delivers late is not skipped.
    if (batch.changes.length > 0) {
      this.#watchRevision = batch.version;
      // A removal carries an old revision, so the result's revision is used.
      this.#advance(batch.version);
    }
    this.confirm(sentAt);
  }

  /**
   * Applies the copy of a peer that was received at `now`: replaces this node's
   * copy if the peer's includes all that this node knows, else takes only newer
   * objects from it.
   */
  applySnapshot(snapshot: FeedSnapshot, now: number): void {
    const isBehind = snapshot.asOf <= this.#asOf ||
      snapshot.asOf < this.#knownTo;
    if (isBehind) return this.#merge(snapshot);
    this.#recordEra(snapshot.asOf, now);
    this.#replaceAll(snapshot.objects, snapshot.asOf);
    this.#watchRevision = undefined;
    this.#advance(snapshot.asOf);
  }

  /** Records that the copy was current at `confirmedAt`. */
  confirm(confirmedAt: number): void {
    if (confirmedAt >= this.#restoredAt && this.isHeld(confirmedAt)) return;
    this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt);
  }

  /** Records that the store answered this node at `at`. */
  recordOwnRead(at: number): void {
    this.#lastReadAt = at;
  }

  /** Records that a node of lower rank read the store at `at`. */
  recordPrecedingRead(at: number): void {
    this.#precedingReadAt = Math.max(this.#precedingReadAt, at);
  }

  /** Records that the store did not answer at `at`. */
  recordOutage(at: number): void {
    this.#lastOutageAt = Math.max(this.#lastOutageAt, at);
  }

  /** Makes the next read a full list. */
  requireList(): void {
    this.#watchRevision = undefined;
  }

  /** Records at `now` that some node of the system knows of a restore. */
  recordRestore(now: number): void {
    this.#restoredAt = Math.max(this.#restoredAt, now);
  }

  /**
   * A list that a newer copy has overtaken replaces nothing, but changes since the
   * list can be watched for.
   */
  #applyOlderList({ version }: ObjectList): void {
    const isOfThisEra = readStoreEra(version) === readStoreEra(this.#asOf);
    if (isOfThisEra) this.#watchRevision ??= version;
  }

  get #retainsObjects(): boolean {
    return this.#options.isNewer !== undefined;
  }

  #recordEra(version: number, now: number): void {
    const isRestored = this.isSynced &&
      readStoreEra(version) > readStoreEra(this.#asOf);
    if (isRestored) this.recordRestore(now);
  }

  #replaceAll(objects: readonly StoredObject[], version: number): void {
    const held = new Map(this.#objects);
    this.#objects.clear();
    for (const object of objects) {
      const known = held.get(object.key);
      this.#knownTo = Math.max(this.#knownTo, object.version);
      this.#objects.set(object.key, this.#chooseNewer(known, object));
      held.delete(object.key);
    }
    if (!this.#retainsObjects) return;
    // What the restored store does not have yet was written after its copy.
    const era = readStoreEra(version);
    for (const [key, object] of held) {
      if (readStoreEra(object.version) < era) this.#objects.set(key, object);
    }
  }

  /** Sets an object, unless a list had it in a newer state. */
  #set(object: StoredObject): void {
    const held = this.#objects.get(object.key);
    if (held !== undefined && object.version < held.version) return;
    this.#objects.set(object.key, this.#chooseNewer(held, object));
  }

  /** Removes an object, unless a list had it as created anew. */
  #remove(key: string, version: number): void {
    const held = this.#objects.get(key);
    if (held !== undefined && version < held.version) return;
    this.#objects.delete(key);
  }

  /** Chooses between the object that this node holds and the store's one. */
  #chooseNewer(
    held: StoredObject | undefined,
    object: StoredObject,
  ): StoredObject {
    const { isNewer } = this.#options;
    if (held === undefined || isNewer === undefined) return object;
    const isOtherEra =
      readStoreEra(held.version) !== readStoreEra(object.version);
    return isOtherEra && isNewer(held, object) ? held : object;
  }

  /** Takes over the objects of a peer that are newer than this node's. */
  #merge({ objects }: FeedSnapshot): void {
    const { isNewer } = this.#options;
    if (isNewer === undefined) return;
    for (const object of objects) {
      const held = this.#objects.get(object.key);
      if (held === undefined || isNewer(object, held)) {
        this.#objects.set(object.key, object);
      }
    }
    this.#advance(this.#asOf);
  }

  #advance(asOf: number): void {
    this.#asOf = Math.max(this.#asOf, asOf);
    this.#knownTo = Math.max(this.#knownTo, asOf);
    const digest = this.#computeDigest();
    if (digest === this.#digest) return;
    this.#digest = digest;
    this.#changed.fire();
  }

  #computeDigest(): number {
    const revisions = [...this.#objects.values()]
      .map((object) => `${object.key}:${object.version}`)
      .sort();
    return this.#hasher.hash32(revisions.join("\n"));
  }
}
