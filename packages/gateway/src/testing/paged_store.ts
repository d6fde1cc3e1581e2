/**
 * Store of registrations on a clock driven by hand: lists come in pages, each call
 * takes a while, and watches may hear nothing for a time before the history is
 * discarded.
 */

import { type Either, Right } from "purify-ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type {
  ObjectChange,
  ObjectList,
  ObjectStore,
  StoredObject,
  WatchOutcome,
} from "@almondcrank/infrastructure/object_store.ts";
import type { PlatformError } from "@almondcrank/infrastructure/platform_error.ts";

const pollMs = 10;

interface StoredChange {
  readonly version: number;
  readonly change: ObjectChange;
}

/** The store. */
export class PagedStore implements ObjectStore {
  readonly era = 0;
  readonly #clock: Clock;
  readonly #objects = new Map<string, StoredObject>();
  #history: StoredChange[] = [];
  #historyStart = 0;
  #revision = 1;
  /** Time that each call, and each page of a list, takes. */
  callMs = 5;
  pageItems = 500;
  /** Whether watches are told of changes. */
  isTelling = true;

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): PagedStore {
    return new PagedStore(clock);
  }

  /** Writes an object as a replica does. */
  put(key: string, value: unknown): void {
    this.#revision += 1;
    const object = { key, version: this.#revision, value };
    this.#objects.set(key, object);
    this.#addChange({ kind: "written", object });
  }

  /** Removes an object as the store does when it expires. */
  withdraw(key: string): void {
    const version = this.#objects.get(key)?.version ?? 0;
    this.#revision += 1;
    this.#objects.delete(key);
    this.#addChange({ kind: "removed", key, version });
  }

  /** Discards the history; watches of what came before expire. */
  compact(): void {
    this.#history = [];
    this.#historyStart = this.#revision;
  }

  async list(): Promise<Either<PlatformError, ObjectList>> {
    let version: number | undefined;
    const objects: StoredObject[] = [];
    for (let last = "", more = true; more;) {
      await this.#clock.sleep(this.callMs);
      version ??= this.#revision;
      const left = [...this.#objects.values()]
        .filter(({ key }) => key > last)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      const page = left.slice(0, this.pageItems);
      objects.push(...page);
      last = page.at(-1)?.key ?? "";
      more = left.length > page.length;
    }
    return Right({
      version: version ?? 0,
      endVersion: this.#revision,
      objects,
    });
  }

  async watch(
    _prefix: string,
    since: number,
    waitMs: number,
  ): Promise<Either<PlatformError, WatchOutcome>> {
    await this.#clock.sleep(this.callMs);
    const endsAt = this.#clock.now() + waitMs;
    while (true) {
      if (since < this.#historyStart) return Right({ kind: "expired" });
      const told = this.isTelling
        ? this.#history.filter(({ version }) => version > since)
        : [];
      if (told.length > 0 || this.#clock.now() >= endsAt) {
        const changes = told.map(({ change }) => change);
        const batch = { version: this.#revision, changes };
        return Right({ kind: "changes", batch });
      }
      await this.#clock.sleep(pollMs);
    }
  }

  read(): never {
    throw new Error("not used");
  }

  write(): never {
    throw new Error("not used");
  }

  remove(): never {
    throw new Error("not used");
  }

  #addChange(change: ObjectChange): void {
    this.#history.push({ version: this.#revision, change });
  }
}
