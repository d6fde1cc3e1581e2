/**
 * In-memory object store with fault injection, for tests and measurements.
 *
 * A test chooses the outcome of each call through `chooseOutcome`: it passes,
 * it fails before or after it takes effect, or it is delayed until a promise
 * resolves.
 */

import { type Either, Left, Right } from "purify-ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import { Emitter } from "@almondcrank/common/emitter.ts";
import type {
  ObjectChange,
  ObjectList,
  ObjectStore,
  StoredObject,
  WatchOutcome,
  WriteCondition,
  WriteOutcome,
} from "./object_store.ts";
import { PlatformError } from "./platform_error.ts";
import {
  composeStoreVersion,
  readStoreEra,
  readStoreRevision,
} from "./store_version.ts";

/** Kind of a call, for fault injection and for `counts`. */
export type StoreCall = "read" | "list" | "write" | "remove" | "watch";

/** What the store does with a call. */
export type InjectedOutcome =
  | "pass"
  /** The call fails without effect. */
  | "unavailable"
  /** The call has no effect, and its answer is lost. */
  | "lost_before"
  /** The call takes effect, and its answer is lost. */
  | "lost_after";

/** Chooses the outcome of a call; a pending promise delays the call. */
export type ChooseOutcome = (
  call: StoreCall,
  key: string,
) => InjectedOutcome | Promise<InjectedOutcome>;

/** Copy of a store's objects, to restore them later. */
export interface StoreCopy {
  readonly revision: number;
  readonly objects: readonly StoredObject[];
}

/** Object store that keeps its objects in memory. */
export class MemoryObjectStore implements ObjectStore {
  readonly #clock: Clock;
  readonly #objects = new Map<string, StoredObject>();
  readonly #changed = Emitter.create<void>();
  /** Number of calls so far by kind; a watch counts once. */
  readonly counts = new Map<StoreCall, number>();
  #changes: ObjectChange[] = [];
  #expiredUntil = 0;
  #version = 0;
  /** Outcomes of calls that are made on the store itself. */
  chooseOutcome: ChooseOutcome = () => "pass";

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): MemoryObjectStore {
    return new MemoryObjectStore(clock);
  }

  /** Creates a client of this store with its own injected faults. */
  createClient(chooseOutcome: ChooseOutcome): ObjectStore {
    const client = Object.create(this) as MemoryObjectStore;
    Object.defineProperty(client, "era", { get: () => this.era });
    const run = <T>(
      call: StoreCall,
      key: string,
      effect: () => T | Promise<T>,
    ): Promise<Either<PlatformError, T>> =>
      this.#run(chooseOutcome, { call, key, effect });
    client.read = (key) => run("read", key, () => this.#objects.get(key));
    client.list = (prefix) => run("list", prefix, () => this.#list(prefix));
    client.write = (key, value, condition) => {
      const isStale = condition.kind === "version" &&
        readStoreEra(condition.version) < this.era;
      return isStale
        ? run("read", key, () => this.#createConflict(key))
        : run("write", key, () => this.#write(key, value, condition));
    };
    client.remove = (key, version) =>
      readStoreEra(version) < this.era
        ? run("read", key, () => this.#createConflict(key))
        : run("remove", key, () => this.#remove(key, version));
    client.watch = (prefix, since, waitMs) =>
      run("watch", prefix, () => this.#watch(prefix, since, waitMs));
    return client;
  }

  read(key: string): Promise<Either<PlatformError, StoredObject | undefined>> {
    return this.createClient(this.chooseOutcome).read(key);
  }

  list(prefix: string): Promise<Either<PlatformError, ObjectList>> {
    return this.createClient(this.chooseOutcome).list(prefix);
  }

  write(
    key: string,
    value: unknown,
    condition: WriteCondition,
  ): Promise<Either<PlatformError, WriteOutcome>> {
    return this.createClient(this.chooseOutcome).write(key, value, condition);
  }

  remove(
    key: string,
    version: number,
  ): Promise<Either<PlatformError, WriteOutcome>> {
    return this.createClient(this.chooseOutcome).remove(key, version);
  }

  watch(
    prefix: string,
    since: number,
    waitMs: number,
  ): Promise<Either<PlatformError, WatchOutcome>> {
    return this.createClient(this.chooseOutcome).watch(prefix, since, waitMs);
  }

  /**
   * Discards the history of changes, so that watches since an earlier version
   * expire.
   */
  compactHistory(): void {
    this.#changes = [];
    this.#expiredUntil = this.#version;
  }

  /** Number of times that the store was restored from a copy. */
  get era(): number {
    return readStoreEra(this.#version);
  }

  /** Copies all objects, as `restore` takes them. */
  copy(): StoreCopy {
    return {
      revision: readStoreRevision(this.#version),
      objects: [...this.#objects.values()],
    };
  }

  /** Goes back to a copy, in a new era; later writes are gone. */
  restore({ revision, objects }: StoreCopy): void {
    const era = this.era + 1;
    this.#version = composeStoreVersion({ era, revision });
    this.#objects.clear();
    for (const object of objects) {
      const version = composeStoreVersion({
        era,
        revision: readStoreRevision(object.version),
      });
      this.#objects.set(object.key, { ...object, version });
    }
    this.compactHistory();
    this.#changed.fire();
  }

  /** Number of calls so far; a watch counts once. */
  get calls(): number {
    return [...this.counts.values()].reduce((sum, count) => sum + count, 0);
  }

  async #run<T>(
    chooseOutcome: ChooseOutcome,
    { call, key, effect }: {
      readonly call: StoreCall;
      readonly key: string;
      readonly effect: () => T | Promise<T>;
    },
  ): Promise<Either<PlatformError, T>> {
    this.counts.set(call, (this.counts.get(call) ?? 0) + 1);
    const { era } = this;
    const outcome = await chooseOutcome(call, key);
    const isWrite = call === "write" || call === "remove";
    switch (outcome) {
      case "pass": {
        const result = await effect();
        // A client cannot know what a write did that crossed a restore.
        return isWrite && this.era !== era
          ? Left(createFailure("outcome_unknown"))
          : Right(structuredClone(result));
      }
      case "unavailable":
        return Left(createFailure("unavailable"));
      case "lost_before":
        return Left(createFailure(isWrite ? "outcome_unknown" : "unavailable"));
      case "lost_after":
        await effect();
        return Left(createFailure(isWrite ? "outcome_unknown" : "unavailable"));
    }
  }

  #list(prefix: string): ObjectList {
    const objects = [...this.#objects.values()]
      .filter(({ key }) => key.startsWith(prefix));
    return { version: this.#version, objects };
  }

  #write(key: string, value: unknown, condition: WriteCondition): WriteOutcome {
    const current = this.#objects.get(key);
    const holds = condition.kind === "absent"
      ? current === undefined
      : current !== undefined && isSameRevision(current, condition.version);
    if (!holds) return { kind: "conflict", current };
    this.#version += 1;
    const version = this.#version;
    const object = { key, version, value: structuredClone(value) };
    this.#objects.set(key, object);
    this.#addChange({ kind: "written", object });
    return { kind: "written", version };
  }

  /** Outcome of a write whose condition is of an earlier era. */
  #createConflict(key: string): WriteOutcome {
    return { kind: "conflict", current: this.#objects.get(key) };
  }

  #remove(key: string, version: number): WriteOutcome {
    const current = this.#objects.get(key);
    if (current === undefined || !isSameRevision(current, version)) {
      return { kind: "conflict", current };
    }
    this.#objects.delete(key);
    this.#version += 1;
    this.#addChange({ kind: "removed", key, version: this.#version });
    return { kind: "written", version: this.#version };
  }

  #addChange(change: ObjectChange): void {
    this.#changes.push(change);
    this.#changed.fire();
  }

  async #watch(
    prefix: string,
    since: number,
    waitMs: number,
  ): Promise<WatchOutcome> {
    if (since < this.#expiredUntil) return { kind: "expired" };
    if (waitMs > 0 && this.#findChanges(prefix, since).length === 0) {
      const woken = new AbortController();
      const subscription = this.#changed.event(() => {
        const isExpired = since < this.#expiredUntil;
        if (isExpired || this.#findChanges(prefix, since).length > 0) {
          woken.abort();
        }
      });
      await this.#clock.sleep(waitMs, woken.signal);
      subscription.dispose();
      if (readStoreEra(since) < this.era) return { kind: "expired" };
    }
    const changes = this.#findChanges(prefix, since);
    return { kind: "changes", batch: { version: this.#version, changes } };
  }

  #findChanges(prefix: string, since: number): ObjectChange[] {
    return this.#changes.filter((change) => {
      const { key, version } = change.kind === "written"
        ? change.object
        : change;
      return version > since && key.startsWith(prefix);
    });
  }
}

/** The store itself compares revisions, which a restore gives out again. */
function isSameRevision({ version }: StoredObject, expected: number): boolean {
  return readStoreRevision(version) === readStoreRevision(expected);
}

function createFailure(kind: "unavailable" | "outcome_unknown"): PlatformError {
  const reason = "injected fault";
  return PlatformError.create({ kind, service: "object_api", reason });
}
