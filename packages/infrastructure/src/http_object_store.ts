/**
 * Client of the object API over HTTP; `object_store.ts` describes the wire
 * format.
 */

import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type {
  ObjectList,
  ObjectStore,
  StoredObject,
  WatchOutcome,
  WriteCondition,
  WriteOutcome,
} from "./object_store.ts";
import {
  PlatformClient,
  type PlatformClientOptions,
  type PlatformResponse,
} from "./platform_client.ts";
import { PlatformError } from "./platform_error.ts";
import {
  composeStoreVersion,
  readStoreEra,
  readStoreRevision,
} from "./store_version.ts";

/** Header with the era of the store, in every answer. */
export const eraHeader = "object-api-era";

const revision = z.number().int().nonnegative();

/** Schemas of the bodies of one era's answers. */
function createSchemas(era: number) {
  const version = revision.transform((revision) =>
    composeStoreVersion({ era, revision })
  );
  const storedObject = z.object({
    key: z.string(),
    version,
    value: z.unknown(),
  });
  return {
    storedObject,
    objectList: z.object({ version, objects: z.array(storedObject) }),
    written: z.object({ version }),
    conflict: z.object({ current: storedObject.nullish() }),
    watchBatch: z.object({
      version,
      changes: z.array(z.union([
        z.object({ kind: z.literal("written"), object: storedObject }),
        z.object({ kind: z.literal("removed"), key: z.string(), version }),
      ])),
    }),
  };
}
type Schemas = ReturnType<typeof createSchemas>;

/** Client of the object API at one address. */
export class HttpObjectStore implements ObjectStore, Disposable {
  readonly #client: PlatformClient;
  #schemas = createSchemas(0);
  #schemasEra = 0;

  private constructor(client: PlatformClient) {
    this.#client = client;
  }

  static create(options: PlatformClientOptions): HttpObjectStore {
    return new HttpObjectStore(
      PlatformClient.create("object_api", { ...options, eraHeader }),
    );
  }

  get era(): number {
    return this.#client.era;
  }

  async read(
    key: string,
  ): Promise<Either<PlatformError, StoredObject | undefined>> {
    const response = await this.#client.call({
      method: "GET",
      path: formatObjectPath(key),
    });
    return response.chain((response) =>
      response.status === 404
        ? Right(undefined)
        : this.#client.parse(this.#readSchemas().storedObject, response)
    );
  }

  async list(prefix: string): Promise<Either<PlatformError, ObjectList>> {
    const response = await this.#client.call({
      method: "GET",
      path: `/objects?prefix=${encodeURIComponent(prefix)}`,
    });
    return response.chain((response) =>
      this.#client.parse(this.#readSchemas().objectList, response)
    );
  }

  async write(
    key: string,
    value: unknown,
    condition: WriteCondition,
  ): Promise<Either<PlatformError, WriteOutcome>> {
    if (this.#isFromEarlierEra(condition)) return await this.#readConflict(key);
    const response = await this.#client.call({
      method: "PUT",
      path: formatObjectPath(key),
      headers: formatCondition(condition),
      body: JSON.stringify(value),
    });
    return response.chain((response) => this.#parseWrite(response, condition));
  }

  async remove(
    key: string,
    version: number,
  ): Promise<Either<PlatformError, WriteOutcome>> {
    const condition = { kind: "version", version } as const;
    if (this.#isFromEarlierEra(condition)) return await this.#readConflict(key);
    const response = await this.#client.call({
      method: "DELETE",
      path: formatObjectPath(key),
      headers: formatCondition(condition),
    });
    return response.chain((response) => this.#parseWrite(response, condition));
  }

  async watch(
    prefix: string,
    since: number,
    waitMs: number,
  ): Promise<Either<PlatformError, WatchOutcome>> {
    const sinceEra = readStoreEra(since);
    if (sinceEra < this.era) return Right({ kind: "expired" });
    const query = new URLSearchParams({
      prefix,
      since: String(readStoreRevision(since)),
      waitMs: String(Math.round(waitMs)),
    });
    const response = await this.#client.call({
      method: "GET",
      path: `/watch?${query}`,
      waitMs,
    });
    return response.chain((response): Either<PlatformError, WatchOutcome> =>
      response.status === 410 || this.era !== sinceEra
        ? Right({ kind: "expired" })
        : this.#client.parse(this.#readSchemas().watchBatch, response)
          .map((batch) => ({ kind: "changes", batch }))
    );
  }

  dispose(): void {
    this.#client.dispose();
  }

  /** Schemas of the present era. */
  #readSchemas(): Schemas {
    if (this.#schemasEra !== this.era) {
      this.#schemasEra = this.era;
      this.#schemas = createSchemas(this.era);
    }
    return this.#schemas;
  }

  #isFromEarlierEra(condition: WriteCondition): boolean {
    return condition.kind === "version" &&
      readStoreEra(condition.version) < this.era;
  }

  /** Answers a write whose condition cannot hold, with the present object. */
  async #readConflict(
    key: string,
  ): Promise<Either<PlatformError, WriteOutcome>> {
    const read = await this.read(key);
    return read.map((current) => ({ kind: "conflict", current }));
  }

  /**
   * Parses the answer of a write; an invalid one leaves the outcome unknown.
   */
  #parseWrite(
    response: PlatformResponse,
    condition: WriteCondition,
  ): Either<PlatformError, WriteOutcome> {
    const { written, conflict } = this.#readSchemas();
    if (response.status < 400 && this.#isFromEarlierEra(condition)) {
      const reason = "the store was restored before the write";
      return Left(createUnknownOutcomeError(reason));
    }
    switch (response.status) {
      case 404:
        return Right({ kind: "conflict", current: undefined });
      case 409: {
        const body = conflict.safeParse(response.body);
        const current = body.data?.current ?? undefined;
        return body.success ? Right({ kind: "conflict", current }) : Left(
          createUnknownOutcomeError("conflict without the stored object"),
        );
      }
      default:
        return this.#client.parse(written, response)
          .map(({ version }): WriteOutcome => ({ kind: "written", version }))
          .mapLeft((error) =>
            error.kind === "bad_answer"
              ? createUnknownOutcomeError(error.message)
              : error
          );
    }
  }
}

function createUnknownOutcomeError(reason: string): PlatformError {
  const service = "object_api";
  return PlatformError.create({ kind: "outcome_unknown", service, reason });
}

function formatObjectPath(key: string): string {
  return `/objects/${encodeURIComponent(key)}`;
}

function formatCondition(
  condition: WriteCondition,
): Readonly<Record<string, string>> {
  switch (condition.kind) {
    case "absent":
      return { "if-none-match": "*" };
    case "version":
      return { "if-match": String(readStoreRevision(condition.version)) };
  }
}
