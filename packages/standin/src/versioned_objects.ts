/**
 * Objects in memory with versions from one sequence, and the history of their
 * changes.
 */

import type {
  ObjectChange,
  ObjectList,
  StoredObject,
  WatchOutcome,
  WriteCondition,
  WriteOutcome,
} from "@almondcrank/infrastructure/object_store.ts";
import { Emitter, type Event } from "@almondcrank/common/emitter.ts";

/** Copy of all objects, to restore them later. */
export interface ObjectsCopy {
  readonly revision: number;
  readonly objects: readonly StoredObject[];
}

/** Objects of the object API. */
export class VersionedObjects {
  readonly #objects = new Map<string, StoredObject>();
  readonly #changed = Emitter.create<ObjectChange>();
  readonly #historyLimit: number;
  #history: ObjectChange[] = [];
  /** Oldest version from which a watch can still read; older watches expire. */
  #oldestWatchVersion = 0;
  #version = 0;
  #era = 0;

  private constructor(historyLimit: number) {
    this.#historyLimit = historyLimit;
  }

  /** @param historyLimit Number of latest changes that watches can read. */
  static create(historyLimit: number): VersionedObjects {
    return new VersionedObjects(historyLimit);
  }

  /** Fires after each write and each removal. */
  readonly onChange: Event<ObjectChange> = (listener) =>
    this.#changed.event(listener);

  /** Version of the latest change; 0 before the first. */
  get version(): number {
    return this.#version;
  }

  /** Number of times that the objects were restored from a copy. */
  get era(): number {
    return this.#era;
  }

  /** Copies all objects, as `restore` takes them. */
  copy(): ObjectsCopy {
    return { revision: this.#version, objects: [...this.#objects.values()] };
  }

  /** Goes back to a copy, in a new era; later changes are gone. */
  restore({ revision, objects }: ObjectsCopy): void {
    this.#era += 1;
    this.#version = revision;
    this.#objects.clear();
    for (const object of objects) this.#objects.set(object.key, object);
    this.compactHistory();
  }

  find(key: string): StoredObject | undefined {
    return this.#objects.get(key);
  }

  /** Lists the objects below `prefix`, sorted by key. */
  list(prefix: string): ObjectList {
    const objects = [...this.#objects.values()]
      .filter((object) => object.key.startsWith(prefix))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return { version: this.#version, objects };
  }

  /** Writes an object if the condition is met. */
  write(
    key: string,
    value: unknown,
    condition: WriteCondition,
  ): WriteOutcome {
    const current = this.#objects.get(key);
    if (!isMet(condition, current)) return { kind: "conflict", current };
    const version = ++this.#version;
    const object = { key, version, value };
    this.#objects.set(key, object);
    this.#recordChange({ kind: "written", object });
    return { kind: "written", version };
  }

  /** Removes an object if it has the version; undefined when there is none. */
  remove(key: string, version: number): WriteOutcome | undefined {
    const current = this.#objects.get(key);
    if (current === undefined) return undefined;
    if (current.version !== version) return { kind: "conflict", current };
    this.#objects.delete(key);
    this.#version += 1;
    this.#recordChange({ kind: "removed", key, version: this.#version });
    return { kind: "written", version: this.#version };
  }

  /** Lists changes below `prefix` after `since`, without waiting. */
  readChanges(prefix: string, since: number): WatchOutcome {
    if (since < this.#oldestWatchVersion || since > this.#version) {
      return { kind: "expired" };
    }
    const changes = this.#history.slice(this.#findIndexAfter(since))
      .filter((change) => findKey(change).startsWith(prefix));
    return { kind: "changes", batch: { version: this.#version, changes } };
  }

  /** Discards the history, so that watches from older versions expire. */
  compactHistory(): void {
    this.#history = [];
    this.#oldestWatchVersion = this.#version;
  }

  /** Finds the index of the first change after `since` by binary search. */
  #findIndexAfter(since: number): number {
    let low = 0;
    let high = this.#history.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (findVersion(this.#history[middle]!) <= since) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  #recordChange(change: ObjectChange): void {
    this.#history.push(change);
    // Trims in batches to keep the amortized cost of a write constant.
    if (this.#history.length > 2 * this.#historyLimit) {
      this.#history = this.#history.slice(-this.#historyLimit);
    }
    const first = this.#history.at(-this.#historyLimit);
    if (first !== undefined) this.#oldestWatchVersion = findVersion(first) - 1;
    this.#changed.fire(change);
  }
}

function isMet(
  condition: WriteCondition,
  current: StoredObject | undefined,
): boolean {
  switch (condition.kind) {
    case "absent":
      return current === undefined;
    case "version":
      return current?.version === condition.version;
  }
}

/** Finds the key of the object that changed. */
export function findKey(change: ObjectChange): string {
  return change.kind === "written" ? change.object.key : change.key;
}

function findVersion(change: ObjectChange): number {
  return change.kind === "written" ? change.object.version : change.version;
}
