/**
 * This node's copy of a feed: the objects of one kind in the platform's store.
 *
 * The copy includes its freshness: `confirmedAt` is a time at which it certainly
 * matched the store. It is read from the store or from a peer, and an equal copy
 * of a peer confirms it too.
 */

import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import type { Hasher } from "@almondcrank/common/hashing.ts";
import type {
  ObjectList,
  StoredObject,
  WatchBatch,
} from "@almondcrank/infrastructure/object_store.ts";

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

/** Copy of one feed. */
export class FeedState {
  readonly #hasher: Hasher;
  readonly #objects = new Map<string, StoredObject>();
  readonly #changed = Emitter.create<void>();
  #asOf = 0;
  #digest = 0;
  #confirmedAt = -Infinity;
  #lastReadAt = -Infinity;
  #precedingReadAt = -Infinity;
  #watchRevision: number | undefined;
  #lastOutageAt = -Infinity;

  private constructor(hasher: Hasher) {
    this.#hasher = hasher;
  }

  static create(hasher: Hasher): FeedState {
    return new FeedState(hasher);
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

  /** Monotonic time at which the store last answered this node. */
  get lastReadAt(): number {
    return this.#lastReadAt;
  }

  /** Monotonic time at which the store last answered a node of lower rank. */
  get precedingReadAt(): number {
    return this.#precedingReadAt;
  }

  /** Monotonic time at which the store last failed to answer some node. */
  get lastOutageAt(): number {
    return this.#lastOutageAt;
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
    // An older list that arrives late must not replace a newer copy.
    if (list.version < this.#asOf) return;
    this.#objects.clear();
    for (const object of list.objects) this.#objects.set(object.key, object);
    this.#watchRevision = list.version;
    this.#advance(list.version);
    this.confirm(sentAt);
  }

  /** Applies the result of a watch that was sent at `sentAt`. */
  applyBatch(batch: WatchBatch, sentAt: number): void {
    for (const change of batch.changes) {
      switch (change.kind) {
        case "written":
          this.#objects.set(change.object.key, change.object);
          break;
        case "removed":
          this.#objects.delete(change.key);
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

  /** Replaces the copy by a newer one of a peer. */
  applySnapshot(snapshot: FeedSnapshot): void {
    if (snapshot.asOf <= this.#asOf) return;
    this.#objects.clear();
    for (const object of snapshot.objects) {
      this.#objects.set(object.key, object);
    }
    this.#watchRevision = undefined;
    this.#advance(snapshot.asOf);
  }

  /** Records that the copy was current at `confirmedAt`. */
  confirm(confirmedAt: number): void {
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

  #advance(asOf: number): void {
    this.#asOf = Math.max(this.#asOf, asOf);
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
