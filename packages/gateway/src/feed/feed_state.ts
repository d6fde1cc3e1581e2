/**
 * This node's copy of the objects of one kind in the platform's store.
 *
 * Beside the objects it keeps how fresh they are: `provenAt` is a time at which
 * the copy surely was what the store held. A copy comes from the store itself or
 * from a peer; a peer's copy that is equal proves ours as well.
 */

import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import type { Hasher } from "@almondcrank/common/hashing.ts";
import type {
  ObjectList,
  StoredObject,
  WatchBatch,
} from "@almondcrank/infrastructure/object_store.ts";

/** Kinds of objects that every node follows. */
export const feedKinds = ["configuration", "replicas"] as const;
export type FeedKind = (typeof feedKinds)[number];

/** What one copy holds, in a form that equal copies share. */
export interface FeedVersion {
  /** Highest revision of the store that the copy is known to include. */
  readonly asOf: number;
  /** Hash over names and revisions. */
  readonly digest: number;
}

/** A copy as nodes hand it to each other. */
export interface FeedSnapshot extends FeedVersion {
  readonly objects: readonly StoredObject[];
}

/** Copy of one kind. */
export class FeedState {
  readonly #hasher: Hasher;
  readonly #objects = new Map<string, StoredObject>();
  readonly #changed = Emitter.create<void>();
  #asOf = 0;
  #digest = 0;
  #provenAt = -Infinity;
  #readAt = -Infinity;
  #firstReadAt = -Infinity;
  #watchFrom: number | undefined;
  #outageAt = -Infinity;

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

  /** Monotonic time at which the copy surely was current. */
  get confirmedAt(): number {
    return this.#provenAt;
  }

  /** Monotonic time at which the store last answered this node. */
  get lastReadAt(): number {
    return this.#readAt;
  }

  /** The same of the nodes before this one in the order of readers. */
  get precedingReadAt(): number {
    return this.#firstReadAt;
  }

  /** Last time at which the store was found not to answer. */
  get lastOutageAt(): number {
    return this.#outageAt;
  }

  /** Revision from which to watch; undefined when a list is needed. */
  get watchRevision(): number | undefined {
    return this.#watchFrom;
  }

  listObjects(): readonly StoredObject[] {
    return [...this.#objects.values()];
  }

  /** Takes in a whole list that was asked for at `sentAt`. */
  applyList(list: ObjectList, sentAt: number): void {
    // A list that overtook a newer one must not undo it.
    if (list.version < this.#asOf) return;
    this.#objects.clear();
    for (const object of list.objects) this.#objects.set(object.key, object);
    this.#watchFrom = list.version;
    this.#advance(list.version);
    this.confirm(sentAt);
  }

  /** Takes in the answer to a watch that was sent at `sentAt`. */
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
    // An empty answer does not move the watch on, so an event that the store
    // delivers late is not passed over.
    if (batch.changes.length > 0) {
      this.#watchFrom = batch.version;
      // A removed object tells an old revision, so the answer's counts.
      this.#advance(batch.version);
    }
    this.confirm(sentAt);
  }

  /** Takes over a peer's newer copy. */
  applySnapshot(snapshot: FeedSnapshot): void {
    if (snapshot.asOf <= this.#asOf) return;
    this.#objects.clear();
    for (const object of snapshot.objects) {
      this.#objects.set(object.key, object);
    }
    this.#watchFrom = undefined;
    this.#advance(snapshot.asOf);
  }

  /** Records that the copy was current at `provenAt`. */
  confirm(provenAt: number): void {
    this.#provenAt = Math.max(this.#provenAt, provenAt);
  }

  /** Records that the store answered this node at `at`. */
  recordOwnRead(at: number): void {
    this.#readAt = at;
  }

  /** Records that a node before this one in the order read the store. */
  recordPrecedingRead(at: number): void {
    this.#firstReadAt = Math.max(this.#firstReadAt, at);
  }

  /** Records that the store did not answer at `at`. */
  recordOutage(at: number): void {
    this.#outageAt = Math.max(this.#outageAt, at);
  }

  /** Asks for a list at the next read. */
  requireList(): void {
    this.#watchFrom = undefined;
  }

  #advance(asOf: number): void {
    this.#asOf = Math.max(this.#asOf, asOf);
    const digest = this.#computeDigest();
    if (digest === this.#digest) return;
    this.#digest = digest;
    this.#changed.fire();
  }

  #computeDigest(): number {
    const names = [...this.#objects.values()]
      .map((object) => `${object.key}:${object.version}`)
      .sort();
    return this.#hasher.hash32(names.join("\n"));
  }
}
