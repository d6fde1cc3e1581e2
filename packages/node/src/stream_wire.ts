/**
 * Wire format of streams between nodes: plain JSON, validated by the receiver.
 */

import { z } from "zod";
import type { StreamEvent } from "@almondcrank/routing/routers/model_router.ts";
import { Refusal } from "@almondcrank/routing/admission/refusal.ts";
import type {
  EventBatch,
  StreamHandOver,
} from "@almondcrank/routing/streams/stream_peers.ts";

/** Request for the events of a stream from token `from` on. */
export const readEventsSchema = z.object({
  id: z.string(),
  team: z.string(),
  from: z.int().min(0),
  waitMs: z.number().min(0).max(60_000),
});

/** Request to cancel a stream. */
export const cancelStreamSchema = z.object({
  id: z.string(),
  team: z.string(),
});

/** A running stream that a draining peer hands over. */
export const handOverSchema = z.object({
  id: z.string(),
  team: z.string(),
  service: z.string(),
  adapter: z.string().optional(),
  prompt: z.string(),
  /** Left out by nodes of earlier versions. */
  conversationStart: z.int().min(0).optional(),
  maxTokens: z.int().min(1),
  tokens: z.array(z.string()),
  remainingMs: z.number(),
  attempts: z.int().min(0),
  /** Left out by nodes of earlier versions. */
  uncountedAttempts: z.int().min(0).default(0),
  recomputedTokens: z.int().min(0),
});

const count = z.int().min(0);

const usageSchema = z.object({
  promptTokens: count,
  outputTokens: count,
  cachedTokens: count,
  computedTokens: count,
  recomputedTokens: count,
  attempts: count,
});

const finalSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("end"),
    reason: z.enum(["stop", "length"]),
    usage: usageSchema,
  }),
  z.object({
    kind: z.literal("failed"),
    refusal: z.object({
      kind: z.enum([
        "overload",
        "over_limit",
        "no_endpoint",
        "quarantined",
        "deadline",
        "draining",
        "outcome_unknown",
        "bad_key",
        "claims_unavailable",
        "stream_lost",
        "endpoint_failed",
      ]),
      run: z.enum(["not_run", "unknown", "ran"]),
      retryAfterMs: z.number().optional(),
      message: z.string(),
    }),
  }),
]);

/**
 * Events of a stream, or `unknown_stream` from a peer that does not hold it.
 */
export const eventBatchSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("unknown_stream") }),
  z.object({
    kind: z.literal("events"),
    from: z.int().min(0),
    /** Texts of the tokens from `from` on. */
    tokens: z.array(z.string()),
    /** Left out by nodes of earlier versions. */
    model: z.string().optional(),
    final: finalSchema.optional(),
  }),
]);

/** Message that `eventBatchSchema` accepts. */
export type EventBatchMessage = z.output<typeof eventBatchSchema>;

/** Encodes a batch; undefined is encoded as `unknown_stream`. */
export function encodeEventBatch(
  from: number,
  batch: EventBatch | undefined,
): EventBatchMessage {
  if (batch === undefined) return { kind: "unknown_stream" };
  const tokens: string[] = [];
  let final: z.output<typeof finalSchema> | undefined;
  for (const event of batch.events) {
    if (event.kind === "token") tokens.push(event.text);
    else final = encodeFinal(event);
  }
  return {
    kind: "events",
    from,
    tokens,
    ...(batch.model === undefined ? {} : { model: batch.model }),
    ...(final ? { final } : {}),
  };
}

function encodeFinal(
  event: Exclude<StreamEvent, { readonly kind: "token" }>,
): z.output<typeof finalSchema> {
  if (event.kind === "end") {
    return { kind: "end", reason: event.reason, usage: { ...event.usage } };
  }
  const { kind, run, retryAfterMs, message } = event.refusal.detail;
  return {
    kind: "failed",
    refusal: {
      kind,
      run,
      message,
      ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    },
  };
}

/** Decodes a batch; `unknown_stream` is decoded as undefined. */
export function decodeEventBatch(
  message: EventBatchMessage,
): EventBatch | undefined {
  if (message.kind === "unknown_stream") return undefined;
  const { from, final, model } = message;
  const events: StreamEvent[] = message.tokens.map((text, offset) => ({
    kind: "token",
    index: from + offset,
    text,
  }));
  if (final !== undefined) events.push(decodeFinal(final));
  return {
    events,
    done: final !== undefined,
    ...(model === undefined ? {} : { model }),
  };
}

function decodeFinal(final: z.output<typeof finalSchema>): StreamEvent {
  if (final.kind === "end") return final;
  const { kind, run, retryAfterMs, message } = final.refusal;
  return {
    kind: "failed",
    refusal: Refusal.create({ kind, run, retryAfterMs, message }),
  };
}

/** Encodes a stream that is handed over. */
export function encodeHandOver(
  stream: StreamHandOver,
): z.output<typeof handOverSchema> {
  const { adapter, ...rest } = stream;
  return {
    ...rest,
    tokens: [...rest.tokens],
    ...(adapter === undefined ? {} : { adapter }),
  };
}

/** Decodes a stream that is handed over. */
export function decodeHandOver(
  message: z.output<typeof handOverSchema>,
): StreamHandOver {
  const { adapter, conversationStart, ...rest } = message;
  return {
    ...rest,
    adapter,
    ...(conversationStart === undefined ? {} : { conversationStart }),
  };
}
