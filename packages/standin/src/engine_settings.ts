/**
 * Settings of a stand-in engine: its performance model and its memory.
 */

import { z } from "zod";

/** Model version that is loaded from the start. */
const loadedModelSettings = z.strictObject({
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()).default([]),
});

/** Schema of an engine's settings. */
export const engineSettings = z.strictObject({
  /** Requests that run at once. */
  slots: z.number().int().min(1).default(8),
  /** Requests that may wait; further ones are declined. */
  queueLimit: z.number().int().min(0).default(1_024),
  prefillTokensPerSecond: z.number().min(1).default(8_000),
  /** Maximum number of input tokens that one step computes. */
  prefillChunkTokens: z.number().int().min(1).default(512),
  /** Duration of a step that generates output tokens, in milliseconds. */
  decodeBaseMs: z.number().min(0).default(12),
  /** Added to a step for each request that generates an output token. */
  decodePerRequestMs: z.number().min(0).default(0.5),
  /** Size of the KV cache in tokens. */
  cacheTokens: z.number().int().min(16).default(65_536),
  kvBytesPerToken: z.number().min(1).default(131_072),
  /** Rate at which an exported cache is transferred. */
  kvBytesPerSecond: z.number().min(1).default(2_000_000_000),
  /** Interval at which the load is published, in milliseconds. */
  loadPublishMs: z.number().min(0).default(100),
  /** Limit that the load report states, for all nodes together. */
  requestsPerSecond: z.number().min(0).optional(),
  cacheEventLagMs: z.number().min(0).default(50),
  /** Whether orders with an outdated fencing token are refused. */
  checksFencing: z.boolean().default(true),
  models: z.array(loadedModelSettings).default([]),
  /** Size of the weights by model, for models that an order loads. */
  weightBytes: z.record(z.string(), z.number().min(0)).default({}),
  defaultWeightBytes: z.number().min(0).default(1_000_000_000),
  /** Address of the weight store; without it, models load at once. */
  weightStore: z.string().optional(),
});
/** Settings with all defaults filled in. */
export type EngineSettings = z.infer<typeof engineSettings>;
/** Settings in which defaults may be left out. */
export type EngineSettingsInput = z.input<typeof engineSettings>;
