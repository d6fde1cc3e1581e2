/**
 * Implements `ObjectStore` with the platform's metadata store.
 *
 * A key is `KIND/NAME`; the value is the object's `spec`. The system's own kinds may
 * contain slashes, which the wire does not allow, so they are sent as hyphens.
 *
 * A condition or a watch with a version of an earlier era is not sent: the store
 * may have given out that revision again for another change.
 */

import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type {
  ObjectChange,
  ObjectList,
  ObjectStore,
  StoredObject,
  WatchOutcome,
  WriteCondition,
  WriteOutcome,
} from "@almondcrank/infrastructure/object_store.ts";
import {
  PlatformClient,
  type PlatformClientOptions,
  type PlatformResponse,
} from "@almondcrank/infrastructure/platform_client.ts";
import { PlatformError } from "@almondcrank/infrastructure/platform_error.ts";
import {
  composeStoreVersion,
  readStoreEra,
  readStoreRevision,
} from "@almondcrank/infrastructure/store_version.ts";
import { storeEraHeader } from "./headers.ts";
import {
  isNestedTooDeeply,
  readFields,
  readNumber,
  readString,
} from "./fields.ts";
import {
  encodeName,
  formatKind,
  formatPath,
  type ObjectReference,
  parseKey,
} from "./object_paths.ts";

/** Kind of the replica registrations. */
export const replicasKind = "servers";
/** Key of the operators' configuration. */
export const configurationKey = "config/main";
/** Kind of the operators' configuration. */
export const configurationKind = "config";

const listPage = z.object({
  items: z.array(z.unknown()),
  "more-pages": z.boolean().optional(),
  "store-revision": z.number(),
});
const watchAnswer = z.object({
  events: z.array(z.unknown()),
  "store-revision": z.number(),
});

/** State of the store as the first page of a list was read. */
interface ListStart {
  readonly era: number;
  readonly version: number;
}

/** Status of a write that was refused, since the object is another one. */
const conflictStatus = 409;

/** Client of the platform's store. */
export class PlatformStore implements ObjectStore, Disposable {
  readonly #client: PlatformClient;

  private constructor(client: PlatformClient) {
    this.#client = client;
  }

  static create(options: PlatformClientOptions): PlatformStore {
    return new PlatformStore(
      PlatformClient.create("object_api", {
        ...options,
        eraHeader: storeEraHeader,
      }),
    );
  }

  get era(): number {
    return this.#client.era;
  }

  async read(
    key: string,
  ): Promise<Either<PlatformError, StoredObject | undefined>> {
    const reference = parseKey(key);
    const answer = await this.#client.call({
      method: "GET",
      path: formatPath(reference),
    });
    return answer.chain((answer) => {
      if (answer.status === 404) return Right(undefined);
      if (answer.status >= 400) {
        return Left(this.#client.createRejection(answer));
      }
      const object = decodeObject(reference.kind, answer.body, this.era);
      return object === undefined
        ? Left(createBadAnswer("the object has no name or revision"))
        : Right(object);
    });
  }

  async list(prefix: string): Promise<Either<PlatformError, ObjectList>> {
    const kind = formatKind(prefix);
    const objects: StoredObject[] = [];
    let after = "";
    let first: ListStart | undefined;
    while (true) {
      const query = after === "" ? "" : `?after=${encodeName(after)}`;
      const answer = await this.#client.call({
        method: "GET",
        path: `/objects/${kind}${query}`,
      });
      const page = answer.chain((answer) =>
        this.#client.parse(listPage, answer)
      );
      if (page.isLeft()) return page as Either<PlatformError, never>;
      const { items, ...rest } = page.extract() as z.infer<typeof listPage>;
      const { era } = this;
      const endVersion = composeStoreVersion({
        era,
        revision: rest["store-revision"],
      });
      // What changes on a page once it is read is on no later one.
      first ??= { era, version: endVersion };
      if (era !== first.era) {
        return Left(
          createBadAnswer("the store was restored between two pages"),
        );
      }
      objects.push(
        ...items.flatMap((item) => decodeObject(kind, item, era) ?? []),
      );
      const last = readString(
        readFields(readFields(items.at(-1))?.["metadata"])?.["name"],
      );
      if (rest["more-pages"] !== true || last === undefined) {
        return Right({ version: first.version, endVersion, objects });
      }
      if (last === after) {
        return Left(createBadAnswer("two pages of a list end with one name"));
      }
      after = last;
    }
  }

  async write(
    key: string,
    value: unknown,
    condition: WriteCondition,
  ): Promise<Either<PlatformError, WriteOutcome>> {
    const { era } = this;
    if (condition.kind === "version" && readStoreEra(condition.version) < era) {
      return await this.#readConflict(key);
    }
    const reference = parseKey(key);
    const answer = await this.#client.call(
      formatWrite(reference, value, condition),
    );
    return await this.#completeWrite(key, answer, condition);
  }

  /** Replaces the status of an object that still has a version. */
  async writeStatus(
    key: string,
    status: unknown,
    version: number,
  ): Promise<Either<PlatformError, WriteOutcome>> {
    if (readStoreEra(version) < this.era) return await this.#readConflict(key);
    const reference = parseKey(key);
    const metadata = {
      name: reference.name,
      revision: readStoreRevision(version),
    };
    const answer = await this.#client.call({
      method: "PUT",
      path: `${formatPath(reference)}/status`,
      body: JSON.stringify({ metadata, status }),
    });
    return await this.#completeWrite(key, answer, { kind: "version", version });
  }

  async remove(
    key: string,
    version: number,
  ): Promise<Either<PlatformError, WriteOutcome>> {
    if (readStoreEra(version) < this.era) return await this.#readConflict(key);
    const reference = parseKey(key);
    const revision = readStoreRevision(version);
    const answer = await this.#client.call({
      method: "DELETE",
      path: `${formatPath(reference)}?revision=${revision}`,
    });
    const isRemoved = answer.map(({ status }) => status < 400).orDefault(false);
    return isRemoved
      ? Right({ kind: "written", version })
      : await this.#completeWrite(key, answer, { kind: "version", version });
  }

  async watch(
    prefix: string,
    since: number,
    waitMs: number,
  ): Promise<Either<PlatformError, WatchOutcome>> {
    const sinceEra = readStoreEra(since);
    if (sinceEra < this.era) return Right({ kind: "expired" });
    const kind = formatKind(prefix);
    const wait = Math.round(waitMs);
    const revision = readStoreRevision(since);
    const answer = await this.#client.call({
      method: "GET",
      path: `/objects/${kind}?watch=${revision}&wait-ms=${wait}`,
      waitMs,
    });
    return answer.chain((answer): Either<PlatformError, WatchOutcome> => {
      const { era } = this;
      const isExpired = answer.status === 410 || era !== sinceEra;
      if (isExpired) return Right({ kind: "expired" });
      return this.#client.parse(watchAnswer, answer).map((body) => ({
        kind: "changes",
        batch: {
          version: composeStoreVersion({
            era,
            revision: body["store-revision"],
          }),
          changes: body.events.flatMap((event) =>
            decodeEvent(kind, event, era)
          ),
        },
      }));
    });
  }

  dispose(): void {
    this.#client.dispose();
  }

  /** Answers a write whose condition cannot hold, with the present object. */
  async #readConflict(
    key: string,
  ): Promise<Either<PlatformError, WriteOutcome>> {
    const read = await this.read(key);
    return read.map((current) => ({ kind: "conflict", current }));
  }

  /** Parses the answer of a write, and reads the object that a refusal lacks. */
  async #completeWrite(
    key: string,
    answer: Either<PlatformError, PlatformResponse>,
    condition: WriteCondition,
  ): Promise<Either<PlatformError, WriteOutcome>> {
    const { kind } = parseKey(key);
    // Its body may have stopped; that the object exists is sure.
    const hasNoObject = answer.map(({ status, body }) =>
      status === conflictStatus && !decodeObject(kind, body, this.era)
    );
    return hasNoObject.orDefault(false)
      ? await this.#readConflict(key)
      : answer.chain((answer) => this.#parseWrite(kind, answer, condition));
  }

  #parseWrite(
    kind: string,
    answer: PlatformResponse,
    condition: WriteCondition,
  ): Either<PlatformError, WriteOutcome> {
    const object = decodeObject(kind, answer.body, this.era);
    switch (answer.status) {
      case 404:
        return Right({ kind: "conflict", current: undefined });
      case conflictStatus:
        return Right({ kind: "conflict", current: object });
    }
    if (answer.status >= 400) {
      return Left(this.#client.createRejection(answer));
    }
    if (object === undefined) {
      return Left(createUnknownOutcome("the written object has no revision"));
    }
    // The revision that the write was conditional on may be another change now.
    const isRestored = condition.kind === "version" &&
      readStoreEra(condition.version) < this.era;
    return isRestored
      ? Left(createUnknownOutcome("the store was restored before the write"))
      : Right({ kind: "written", version: object.version });
  }
}

function formatWrite(
  reference: ObjectReference,
  value: unknown,
  condition: WriteCondition,
): {
  readonly method: "PUT" | "POST";
  readonly path: string;
  readonly body: string;
} {
  const { name, kind } = reference;
  switch (condition.kind) {
    case "absent":
      return {
        method: "POST",
        path: `/objects/${kind}`,
        body: JSON.stringify({ metadata: { name }, spec: value }),
      };
    case "version":
      return {
        method: "PUT",
        path: formatPath(reference),
        body: JSON.stringify({
          metadata: { name, revision: readStoreRevision(condition.version) },
          spec: value,
        }),
      };
  }
}

function decodeObject(
  kind: string,
  value: unknown,
  era: number,
): StoredObject | undefined {
  const fields = readFields(value);
  const metadata = readFields(fields?.["metadata"]);
  const name = readString(metadata?.["name"]);
  const revision = readNumber(metadata?.["revision"]);
  if (name === undefined || revision === undefined) return undefined;
  const version = composeStoreVersion({ era, revision });
  // Nested too deeply, an object could be read but not be written again for peers.
  const spec = isNestedTooDeeply(fields?.["spec"]) ? null : fields?.["spec"];
  const status = isNestedTooDeeply(fields?.["status"])
    ? undefined
    : fields?.["status"] ?? undefined;
  return {
    key: `${kind}/${name}`,
    version,
    value: spec,
    ...(status === undefined ? {} : { status }),
  };
}

function decodeEvent(
  kind: string,
  value: unknown,
  era: number,
): readonly ObjectChange[] {
  const event = readFields(value);
  const object = decodeObject(kind, event?.["object"], era);
  if (object === undefined) return [];
  if (event?.["deleted"] === true) {
    return [{ kind: "removed", key: object.key, version: object.version }];
  }
  return [{ kind: "written", object }];
}

function createUnknownOutcome(reason: string): PlatformError {
  return PlatformError.create({
    kind: "outcome_unknown",
    service: "object_api",
    reason,
  });
}

function createBadAnswer(reason: string): PlatformError {
  return PlatformError.create({
    kind: "bad_answer",
    service: "object_api",
    reason,
  });
}
