/**
 * Client of the object API over HTTP; `object_store.ts` gives the wire.
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

/** Object API at one address. */
export class HttpObjectStore implements ObjectStore, Disposable {
  readonly #caller: PlatformClient;

  private constructor(caller: PlatformClient) {
    this.#caller = caller;
  }

  static create(options: PlatformClientOptions): HttpObjectStore {
    return new HttpObjectStore(PlatformClient.create("object_api", options));
  }

  async read(
    key: string,
  ): Promise<Either<PlatformError, StoredObject | undefined>> {
    const answer = await this.#caller.call({
      method: "GET",
      path: formatObjectPath(key),
    });
    return answer.chain((answer) =>
      answer.status === 404
        ? Right(undefined)
        : this.#caller.parse(storedObject, answer)
    );
  }

  async list(prefix: string): Promise<Either<PlatformError, ObjectList>> {
    const answer = await this.#caller.call({
      method: "GET",
      path: `/objects?prefix=${encodeURIComponent(prefix)}`,
    });
    return answer.chain((answer) => this.#caller.parse(objectList, answer));
  }

  async write(
    key: string,
    value: unknown,
    condition: WriteCondition,
  ): Promise<Either<PlatformError, WriteOutcome>> {
    const answer = await this.#caller.call({
      method: "PUT",
      path: formatObjectPath(key),
      headers: formatCondition(condition),
      body: JSON.stringify(value),
    });
    return answer.chain((answer) => this.#parseWrite(answer));
  }

  async remove(
    key: string,
    version: number,
  ): Promise<Either<PlatformError, WriteOutcome>> {
    const answer = await this.#caller.call({
      method: "DELETE",
      path: formatObjectPath(key),
      headers: formatCondition({ kind: "version", version }),
    });
    return answer.chain((answer) => this.#parseWrite(answer));
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
    const answer = await this.#caller.call({
      method: "GET",
      path: `/watch?${query}`,
      waitMs,
    });
    return answer.chain((answer): Either<PlatformError, WatchOutcome> =>
      answer.status === 410
        ? Right({ kind: "expired" })
        : this.#caller.parse(watchBatch, answer)
          .map((batch) => ({ kind: "changes", batch }))
    );
  }

  dispose(): void {
    this.#caller.dispose();
  }

  /** A written answer that cannot be read leaves the outcome unknown. */
  #parseWrite(answer: PlatformResponse): Either<PlatformError, WriteOutcome> {
    switch (answer.status) {
      case 404:
        return Right({ kind: "conflict", current: undefined });
      case 409: {
        const body = conflict.safeParse(answer.body);
        const current = body.data?.current ?? undefined;
        return body.success
          ? Right({ kind: "conflict", current })
          : Left(createUnknownOutcome("conflict without the stored object"));
      }
      default:
        return this.#caller.parse(written, answer)
          .map(({ version }): WriteOutcome => ({ kind: "written", version }))
          .mapLeft((error) =>
            error.kind === "bad_answer"
              ? createUnknownOutcome(error.message)
              : error
          );
    }
  }
}

function createUnknownOutcome(reason: string): PlatformError {
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
