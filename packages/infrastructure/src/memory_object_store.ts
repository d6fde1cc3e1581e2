/**
 * In-memory object store with injected faults, for tests and measurements.
 *
 * A test decides the fate of each call through `choose`: pass it, fail it before
 * or after it took effect, or hold it until a promise resolves.
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

/** Kind of a call, for faults and counts. */
export type StoreCall = "read" | "list" | "write" | "remove" | "watch";

/** What happens to a call. */
export type InjectedOutcome =
  | "pass"
  /** It fails without effect. */
  | "unavailable"
  /** Its answer is lost and it had no effect. */
  | "lost_before"
  /** Its answer is lost after it took effect. */
  | "lost_after";

/** Chooses the fate of a call; may wait, which delays the call. */
export type ChooseOutcome = (
  call: StoreCall,
  key: string,
) => InjectedOutcome | Promise<InjectedOutcome>;

/** Object store in memory. */
export class MemoryObjectStore implements ObjectStore {
  readonly #clock: Clock;
  readonly #objects = new Map<string, StoredObject>();
  readonly #changed = Emitter.create<void>();
  readonly counts = new Map<StoreCall, number>();
  #changes: ObjectChange[] = [];
  #expiredUntil = 0;
  #version = 0;
  chooseOutcome: ChooseOutcome = () => "pass";

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): MemoryObjectStore {
    return new MemoryObjectStore(clock);
  }

  /** Client of the same store with its own faults, for one process. */
  createClient(choose: ChooseOutcome): ObjectStore {
    const client = Object.create(this) as MemoryObjectStore;
    const run = <T>(
      call: StoreCall,
      key: string,
      effect: () => T | Promise<T>,
    ): Promise<Either<PlatformError, T>> =>
      this.#run(choose, { call, key, effect });
    client.read = (key) => run("read", key, () => this.#objects.get(key));
    client.list = (prefix) => run("list", prefix, () => this.#list(prefix));
    client.write = (key, value, condition) =>
      run("write", key, () => this.#write(key, value, condition));
    client.remove = (key, version) =>
      run("remove", key, () => this.#remove(key, version));
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

  /** Forgets the history, so that watches since an earlier version expire. */
  compactHistory(): void {
    this.#changes = [];
    this.#expiredUntil = this.#version;
  }

  /** Calls counted so far, a watch as one. */
  get calls(): number {
    return [...this.counts.values()].reduce((sum, count) => sum + count, 0);
  }

  async #run<T>(
    choose: ChooseOutcome,
    { call, key, effect }: {
      readonly call: StoreCall;
      readonly key: string;
      readonly effect: () => T | Promise<T>;
    },
  ): Promise<Either<PlatformError, T>> {
    this.counts.set(call, (this.counts.get(call) ?? 0) + 1);
    const fate = await choose(call, key);
    const isWrite = call === "write" || call === "remove";
    switch (fate) {
      case "pass":
        return Right(structuredClone(await effect()));
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
      : current?.version === condition.version;
    if (!holds) return { kind: "conflict", current };
    this.#version += 1;
    const version = this.#version;
    const object = { key, version, value: structuredClone(value) };
    this.#objects.set(key, object);
    this.#add({ kind: "written", object });
    return { kind: "written", version };
  }

  #remove(key: string, version: number): WriteOutcome {
    const current = this.#objects.get(key);
    if (current?.version !== version) return { kind: "conflict", current };
    this.#objects.delete(key);
    this.#version += 1;
    this.#add({ kind: "removed", key, version: this.#version });
    return { kind: "written", version: this.#version };
  }

  #add(change: ObjectChange): void {
    this.#changes.push(change);
    this.#changed.fire();
  }

  async #watch(
    prefix: string,
    since: number,
    waitMs: number,
  ): Promise<WatchOutcome> {
    if (since < this.#expiredUntil) return { kind: "expired" };
    if (waitMs > 0 && this.#find(prefix, since).length === 0) {
      const woken = new AbortController();
      const subscription = this.#changed.event(() => {
        if (this.#find(prefix, since).length > 0) woken.abort();
      });
      await this.#clock.sleep(waitMs, woken.signal);
      subscription.dispose();
    }
    const changes = this.#find(prefix, since);
    return { kind: "changes", batch: { version: this.#version, changes } };
  }

  #find(prefix: string, since: number): ObjectChange[] {
    return this.#changes.filter((change) => {
      const { key, version } = change.kind === "written"
        ? change.object
        : change;
      return version > since && key.startsWith(prefix);
    });
  }
}

function createFailure(kind: "unavailable" | "outcome_unknown"): PlatformError {
  const reason = "injected fault";
  return PlatformError.create({ kind, service: "object_api", reason });
}
