/**
 * Reads the configuration in force from the object API and waits for changes.
 *
 * The reader keeps the decoded parts of the configuration, so a change costs the
 * transfer of the changed object only. What it returns never goes back to a
 * lower revision: a stale list is ignored.
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
} from "./object_store.ts";
import type { PlatformError } from "./platform_error.ts";

interface RentedPart {
  readonly version: number;
  readonly endpoints: readonly Endpoint[];
}

/** Reader of the configuration in force. */
export class ConfigurationReader {
  readonly #store: ObjectStore;
  #released: ReleasedConfiguration = emptyConfiguration;
  #headRevision = 0;
  #rented: ReadonlyMap<string, RentedPart> = new Map();
  /** Version of the store up to which all changes are known. */
  #cursor: number | undefined;
  #configuration: Configuration = emptyConfiguration;

  private constructor(store: ObjectStore) {
    this.#store = store;
  }

  static create(store: ObjectStore): ConfigurationReader {
    return new ConfigurationReader(store);
  }

  /** Version of the head object that `read` or `wait` last saw, 0 for none. */
  get headRevision(): number {
    return this.#headRevision;
  }

  /** Reads the whole configuration. */
  async read(): Promise<Either<PlatformError, Configuration>> {
    const list = await this.#store.list(configurationPrefix);
    return list.chain((list) => this.#applyList(list));
  }

  /**
   * Waits up to `waitMs` for a configuration beyond revision `since`.
   *
   * @returns The configuration, or undefined when the wait ended first.
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
        return this.#applyChanges(changes, version)
          .map((next) => findNewer(next, since));
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
    this.#released = emptyConfiguration;
    this.#headRevision = 0;
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
      this.#released = head.configuration;
      this.#headRevision = object.version;
    });
  }

  /** Rented endpoints of services that were withdrawn are left out. */
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
