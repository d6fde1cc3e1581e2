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

const version = z.number().int().nonnegative();
const storedObject: z.ZodType<StoredObject> = z.object({
  key: z.string(),
  version,
  value: z.unknown(),
});
const objectList = z.object({ version, objects: z.array(storedObject) });
const written = z.object({ version });
const conflict = z.object({ current: storedObject.nullish() });
const watchBatch = z.object({
  version,
  changes: z.array(z.union([
    z.object({ kind: z.literal("written"), object: storedObject }),
    z.object({ kind: z.literal("removed"), key: z.string(), version }),
  ])),
});

/** Client of the object API at one address. */
export class HttpObjectStore implements ObjectStore, Disposable {
  readonly #client: PlatformClient;

  private constructor(client: PlatformClient) {
    this.#client = client;
  }

  static create(options: PlatformClientOptions): HttpObjectStore {
    return new HttpObjectStore(PlatformClient.create("object_api", options));
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
        : this.#client.parse(storedObject, response)
    );
  }

  async list(prefix: string): Promise<Either<PlatformError, ObjectList>> {
    const response = await this.#client.call({
      method: "GET",
      path: `/objects?prefix=${encodeURIComponent(prefix)}`,
    });
    return response.chain((response) =>
      this.#client.parse(objectList, response)
    );
  }

  async write(
    key: string,
    value: unknown,
    condition: WriteCondition,
  ): Promise<Either<PlatformError, WriteOutcome>> {
    const response = await this.#client.call({
      method: "PUT",
      path: formatObjectPath(key),
      headers: formatCondition(condition),
      body: JSON.stringify(value),
    });
    return response.chain((response) => this.#parseWrite(response));
  }

  async remove(
    key: string,
    version: number,
  ): Promise<Either<PlatformError, WriteOutcome>> {
    const response = await this.#client.call({
      method: "DELETE",
      path: formatObjectPath(key),
      headers: formatCondition({ kind: "version", version }),
    });
    return response.chain((response) => this.#parseWrite(response));
  }

  async watch(
    prefix: string,
    since: number,
    waitMs: number,
  ): Promise<Either<PlatformError, WatchOutcome>> {
    const query = new URLSearchParams({
      prefix,
      since: String(since),
      waitMs: String(Math.round(waitMs)),
    });
    const response = await this.#client.call({
      method: "GET",
      path: `/watch?${query}`,
      waitMs,
    });
    return response.chain((response): Either<PlatformError, WatchOutcome> =>
      response.status === 410
        ? Right({ kind: "expired" })
        : this.#client.parse(watchBatch, response)
          .map((batch) => ({ kind: "changes", batch }))
    );
  }

  dispose(): void {
    this.#client.dispose();
  }

  /**
   * Parses the answer of a write; an invalid one leaves the outcome unknown.
   */
  #parseWrite(response: PlatformResponse): Either<PlatformError, WriteOutcome> {
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
      return { "if-match": String(condition.version) };
  }
}
