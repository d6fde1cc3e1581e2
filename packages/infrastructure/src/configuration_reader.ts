/**
 * Reads the configuration in force from the object API and waits for changes.
 *
 * The reader caches the decoded objects, so a change transfers only the changed
 * object. The revision that it returns never decreases: a stale list is
 * ignored.
 *
 * A store that comes back from an older copy may lack the latest releases. The reader
 * keeps those that it knows and stores them again, conditional on the older head, so
 * that of all readers one succeeds.
 */

import { type Either, Left, Right } from "purify-ts";
import {
  type Configuration,
  emptyConfiguration,
  type Endpoint,
} from "@almondcrank/common/configuration.ts";
import {
  configurationPrefix,
  decodeHead,
  decodeRentedEndpoints,
  type Head,
  headKey,
  type ReleasedConfiguration,
  rentedPrefix,
} from "./configuration_codec.ts";
import type {
  ObjectChange,
  ObjectList,
  ObjectStore,
  StoredObject,
  WatchOutcome,
  WriteCondition,
} from "./object_store.ts";
import type { PlatformError } from "./platform_error.ts";
import { readStoreEra } from "./store_version.ts";

/** Rented endpoints of one shard at one version of their object. */
interface RentedPart {
  readonly version: number;
  readonly endpoints: readonly Endpoint[];
}

/** A head as it was read. */
interface KnownHead {
  readonly object: StoredObject;
  readonly head: Head;
}

/** Reader of the configuration in force. */
export class ConfigurationReader {
  readonly #store: ObjectStore;
  #released: ReleasedConfiguration = emptyConfiguration;
  #headRevision = 0;
  #knownHead: KnownHead | undefined;
  /** Condition for storing the known head again, while the store has an older one. */
  #restoreCondition: WriteCondition | undefined;
  #rented: ReadonlyMap<string, RentedPart> = new Map();
  /** Version of the store up to which all changes are applied. */
  #cursor: number | undefined;
  #configuration: Configuration = emptyConfiguration;

  private constructor(store: ObjectStore) {
    this.#store = store;
  }

  static create(store: ObjectStore): ConfigurationReader {
    return new ConfigurationReader(store);
  }

  /** Version of the head object that `read` or `wait` last saw; 0 for none. */
  get headRevision(): number {
    return this.#headRevision;
  }

  /** Reads the whole configuration. */
  async read(): Promise<Either<PlatformError, Configuration>> {
    const list = await this.#store.list(configurationPrefix);
    const applied = list.chain((list) => this.#applyList(list));
    await this.#restoreHead();
    return applied;
  }

  /**
   * Waits up to `waitMs` for a configuration with a revision above `since`.
   *
   * @returns The configuration, or undefined when none came within the wait.
   */
  async wait(
    since: number,
    waitMs: number,
  ): Promise<Either<PlatformError, Configuration | undefined>> {
    if (this.#cursor === undefined) {
      return (await this.read()).map((next) => findNewer(next, since));
    }
    if (this.#configuration.revision > since) return Right(this.#configuration);
    const outcome = await this.#store.watch(
      configurationPrefix,
      this.#cursor,
      waitMs,
    );
    return outcome.caseOf({
      Left: (error) => Promise.resolve(Left(error)),
      Right: (outcome) => this.#handleWatch(outcome, since),
    });
  }

  async #handleWatch(
    outcome: WatchOutcome,
    since: number,
  ): Promise<Either<PlatformError, Configuration | undefined>> {
    switch (outcome.kind) {
      case "changes": {
        const { changes, version } = outcome.batch;
        const applied = this.#applyChanges(changes, version)
          .map((next) => findNewer(next, since));
        await this.#restoreHead();
        return applied;
      }
      case "expired":
        this.#cursor = undefined;
        return (await this.read()).map((next) => findNewer(next, since));
    }
  }

  #applyList(list: ObjectList): Either<PlatformError, Configuration> {
    const known = Math.max(this.#cursor ?? 0, this.#configuration.revision);
    if (list.version < known) return Right(this.#configuration);
    this.#rented = new Map();
    this.#headRevision = 0;
    const hasHead = list.objects.some(({ key }) => key === headKey);
    if (!hasHead && this.#isRestored(list.version)) {
      this.#restoreCondition = { kind: "absent" };
    } else {
      this.#released = emptyConfiguration;
    }
    const changes = list.objects.map((object): ObjectChange => ({
      kind: "written",
      object,
    }));
    return this.#applyChanges(changes, list.version);
  }

  #applyChanges(
    changes: readonly ObjectChange[],
    version: number,
  ): Either<PlatformError, Configuration> {
    let revision = this.#configuration.revision;
    for (const change of changes) {
      const applied = this.#applyChange(change);
      if (applied.isLeft()) {
        this.#cursor = undefined;
        return applied.map(() => this.#configuration);
      }
      revision = Math.max(revision, findVersion(change));
    }
    this.#cursor = Math.max(this.#cursor ?? 0, version);
    if (changes.length > 0) this.#configuration = this.#merge(revision);
    return Right(this.#configuration);
  }

  #applyChange(change: ObjectChange): Either<PlatformError, void> {
    if (change.kind === "removed") {
      const rented = new Map(this.#rented);
      rented.delete(change.key);
      this.#rented = rented;
      return Right(undefined);
    }
    const { object } = change;
    if (object.key === headKey) return this.#applyHead(object);
    if (!object.key.startsWith(rentedPrefix)) return Right(undefined);
    return decodeRentedEndpoints(object).map(({ endpoints }) => {
      const { version } = object;
      this.#rented = new Map(this.#rented)
        .set(object.key, { version, endpoints });
    });
  }

  #applyHead(object: StoredObject): Either<PlatformError, void> {
    return decodeHead(object).map((head) => {
      const { version } = object;
      this.#headRevision = version;
      const known = this.#knownHead;
      if (
        known !== undefined && this.#isRestored(version) &&
        isEarlierRelease(head, known.head)
      ) {
        this.#released = known.head.configuration;
        this.#restoreCondition = { kind: "version", version };
        return;
      }
      this.#released = head.configuration;
      this.#knownHead = { object, head };
      this.#restoreCondition = undefined;
    });
  }

  /** Whether a version is of a later era than the known head. */
  #isRestored(version: number): boolean {
    return this.#knownHead !== undefined &&
      readStoreEra(version) > readStoreEra(this.#knownHead.object.version);
  }

  /** Stores the known head again if the restored store has an older one. */
  async #restoreHead(): Promise<void> {
    const condition = this.#restoreCondition;
    if (condition === undefined || this.#knownHead === undefined) return;
    const { value } = this.#knownHead.object;
    const written = await this.#store.write(headKey, value, condition);
    // After a conflict or a failure, the next read shows what the store has.
    written.ifRight(() => this.#restoreCondition = undefined);
  }

  /**
   * Merges the released and the rented endpoints; omits those of removed
   * services.
   */
  #merge(revision: number): Configuration {
    const services = new Set(this.#released.services.map(({ name }) => name));
    const names = new Set(this.#released.endpoints.map(({ name }) => name));
    const rented = [...this.#rented.entries()]
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .flatMap(([, part]) => part.endpoints)
      .filter(({ name, service }) => services.has(service) && !names.has(name));
    const endpoints = [...this.#released.endpoints, ...rented];
    return { ...this.#released, endpoints, revision };
  }
}

/** Whether the latest write of `head` is followed by others in `known`. */
function isEarlierRelease(head: Head, known: Head): boolean {
  const last = head.writes.at(-1)?.writeId;
  const ids = known.writes.map(({ writeId }) => writeId);
  return ids.at(-1) !== last && (last === undefined || ids.includes(last));
}

function findVersion(change: ObjectChange): number {
  switch (change.kind) {
    case "written":
      return change.object.version;
    case "removed":
      return change.version;
  }
}

function findNewer(
  configuration: Configuration,
  since: number,
): Configuration | undefined {
  return configuration.revision > since ? configuration : undefined;
}
