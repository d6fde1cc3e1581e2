/**
 * Stored form of the configuration.
 *
 * The object `config/head` holds what release notes add up to and the last
 * writes to it. Objects `config/rented/SHARD` hold the endpoints the system
 * rented itself, one object per shard. The configuration in force is the merge
 * of them all, and its revision is the highest version among them: versions come
 * from one sequence, so every reader at one revision holds the same content.
 *
 * Values beyond a few kilobytes are gzipped, which holds thousands of endpoints
 * within the object API's size limit.
 */

import { gunzipSync, gzipSync } from "node:zlib";
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import type {
  Configuration,
  Endpoint,
} from "@almondcrank/common/configuration.ts";
import { formatThrown } from "@almondcrank/common/kind_error.ts";
import type { StoredObject } from "./object_store.ts";
import { PlatformError } from "./platform_error.ts";

/** Prefix of all objects that make up the configuration. */
export const configurationPrefix = "config/";
/** Key of the head object. */
export const headKey = "config/head";
/** Prefix of the objects that list rented endpoints. */
export const rentedPrefix = "config/rented/";

const gzipFromBytes = 8_192;
const maxDecodedBytes = 64 * 1_048_576;

/** One write to the head. */
export interface HeadWrite {
  readonly writeId: string;
  /** Version of the head that the write replaced, 0 for the first write. */
  readonly base: number;
  /** What it changed, in words, possibly shortened. */
  readonly changes: readonly string[];
}

/** The part of the configuration that release notes make up. */
export type ReleasedConfiguration = Omit<Configuration, "revision">;

/** Value of the head object. */
export interface Head {
  /** Last writes, oldest first. */
  readonly writes: readonly HeadWrite[];
  readonly configuration: ReleasedConfiguration;
}

/** Value of an object that lists a shard's rented endpoints. */
export interface RentedEndpoints {
  readonly endpoints: readonly Endpoint[];
}

const market = z.enum(["reclaimable", "on_demand"]);
const endpointSchema: z.ZodType<Endpoint> = z.object({
  name: z.string(),
  service: z.string(),
  address: z.string(),
  host: z.string(),
  zone: z.string(),
  machineClass: z.string(),
  market,
  checksFencing: z.boolean(),
});
const configurationSchema: z.ZodType<ReleasedConfiguration> = z.object({
  teams: z.array(z.object({
    name: z.string(),
    keyHash: z.string(),
    priority: z.number(),
    share: z.number(),
  })),
  models: z.array(z.object({
    name: z.string(),
    version: z.string(),
    weightBytes: z.number(),
  })),
  adapters: z.array(z.object({
    name: z.string(),
    version: z.string(),
    model: z.string(),
  })),
  services: z.array(z.discriminatedUnion("kind", [
    z.object({
      kind: z.literal("model"),
      name: z.string(),
      model: z.string(),
      adapters: z.array(z.string()),
      target: z.object({
        firstTokenMs: z.number(),
        betweenTokensMs: z.number(),
      }),
      timeoutMs: z.number(),
      maxOutputTokens: z.number(),
    }),
    z.object({
      kind: z.literal("plain"),
      name: z.string(),
      idempotentMethods: z.array(z.string()),
      timeoutMs: z.number(),
    }),
  ])),
  endpoints: z.array(endpointSchema),
});
const headSchema: z.ZodType<Head> = z.object({
  writes: z.array(z.object({
    writeId: z.string(),
    base: z.number(),
    changes: z.array(z.string()),
  })),
  configuration: configurationSchema,
});
const rentedSchema: z.ZodType<RentedEndpoints> = z.object({
  endpoints: z.array(endpointSchema),
});
const envelopeSchema = z.discriminatedUnion("encoding", [
  z.object({ encoding: z.literal("json"), content: z.unknown() }),
  z.object({ encoding: z.literal("gzip"), content: z.string() }),
]);

/** Encodes a head or a list of rented endpoints as a stored value. */
export function encodeStoredValue(value: Head | RentedEndpoints): unknown {
  const text = JSON.stringify(value);
  if (text.length < gzipFromBytes) return { encoding: "json", content: value };
  const content = gzipSync(text).toString("base64");
  return { encoding: "gzip", content };
}

/** Decodes the head object. */
export function decodeHead(object: StoredObject): Either<PlatformError, Head> {
  return decodeValue(object, headSchema);
}

/** Decodes an object that lists rented endpoints. */
export function decodeRentedEndpoints(
  object: StoredObject,
): Either<PlatformError, RentedEndpoints> {
  return decodeValue(object, rentedSchema).map(({ endpoints }) => ({
    endpoints: endpoints.map((endpoint) => ({ ...endpoint, isRented: true })),
  }));
}

/** Computes the size of a stored value as the object API counts it. */
export function computeValueBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

function decodeValue<T>(
  object: StoredObject,
  schema: z.ZodType<T>,
): Either<PlatformError, T> {
  const envelope = envelopeSchema.safeParse(object.value);
  if (!envelope.success) return Left(createBadObject(object, "no envelope"));
  try {
    const content = envelope.data.encoding === "json"
      ? envelope.data.content
      : JSON.parse(decompress(envelope.data.content));
    const parsed = schema.safeParse(content);
    if (parsed.success) return Right(parsed.data);
    const issue = parsed.error.issues[0];
    return Left(
      createBadObject(object, `${issue?.path.join(".")}: ${issue?.message}`),
    );
  } catch (thrown) {
    return Left(createBadObject(object, formatThrown(thrown)));
  }
}

function decompress(content: string): string {
  return gunzipSync(Buffer.from(content, "base64"), {
    maxOutputLength: maxDecodedBytes,
  }).toString();
}

function createBadObject(object: StoredObject, reason: string): PlatformError {
  return PlatformError.create({
    kind: "bad_answer",
    service: "object_api",
    reason: `object ${object.key} at version ${object.version}: ${reason}`,
  });
}
