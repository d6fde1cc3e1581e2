/**
 * Schemas and parsers of the messages that engines send.
 */

import { z } from "zod";
import type {
  CacheEventBatch,
  CacheExport,
  EngineState,
  GenerateEvent,
  LoadReport,
} from "./engine.ts";

const amount = z.number().finite().nonnegative();

/** Answer of `GET /load`. */
export const loadReportSchema: z.ZodType<LoadReport> = z.object({
  ageMs: amount,
  queued: amount,
  running: amount,
  slots: amount,
  queuedTokens: amount,
  prefillTokensPerSecond: amount,
  betweenTokensMs: amount,
  cacheUsedTokens: amount,
  cacheTokens: amount,
  requestsPerSecond: amount.optional(),
});

/** Answer of `GET /cache-events`. */
export const cacheEventBatchSchema: z.ZodType<CacheEventBatch> = z.object({
  sequence: amount,
  events: z.array(z.object({
    sequence: amount,
    kind: z.enum(["stored", "evicted"]),
    blocks: z.array(z.number()),
  })),
});

/** Answer of `POST /kv/export`. */
export const cacheExportSchema: z.ZodType<CacheExport> = z.object({
  handle: z.string(),
  tokens: amount,
  bytes: amount,
});

/** Answer of `POST /kv/import`. */
export const importAnswerSchema: z.ZodType<{ readonly tokens: number }> = z
  .object({ tokens: amount });

/** Answer of `GET /state` and `POST /orders`. */
export const engineStateSchema: z.ZodType<EngineState> = z.object({
  fencing: amount,
  role: z.enum(["serve", "drain"]),
  models: z.array(z.object({
    model: z.string(),
    version: z.string(),
    adapters: z.array(z.string()),
  })),
  loading: z.array(z.string()),
});

/** Answer 412 of `POST /orders`, with the highest fencing token accepted. */
export const staleFencingSchema: z.ZodType<{ readonly known: number }> = z
  .object({ known: amount });

const endSchema = z.object({
  kind: z.literal("end"),
  reason: z.enum(["stop", "length", "cancelled"]),
  usage: z.object({
    promptTokens: amount,
    cachedTokens: amount,
    computedTokens: amount,
    outputTokens: amount,
  }),
});

/**
 * Parses one line of a generation; undefined when it is not a valid event.
 *
 * Tokens are checked without a schema because there are thousands per second.
 */
export function parseGenerateEvent(line: string): GenerateEvent | undefined {
  let value: unknown;
  try {
    value = JSON.parse(line);
  } catch {
    return undefined;
  }
  if (typeof value !== "object" || value === null) return undefined;
  const event = value as Partial<Record<"kind" | "index" | "text", unknown>>;
  if (event.kind !== "token") return endSchema.safeParse(value).data;
  const { index, text } = event;
  if (!Number.isSafeInteger(index) || typeof text !== "string") {
    return undefined;
  }
  return value as GenerateEvent;
}
