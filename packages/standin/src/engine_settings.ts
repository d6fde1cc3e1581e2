/**
 * Settings of a stand-in engine: the stated model of its speed and memory.
 */

import { z } from "zod";

/** Model version an engine holds from the start. */
const loadedModelSettings = z.strictObject({
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()).default([]),
});

export const engineSettings = z.strictObject({
  /** Requests that run at once. */
  slots: z.number().int().min(1).default(8),
  /** Requests that wait at once; more are declined. */
  queueLimit: z.number().int().min(0).default(1_024),
  prefillTokensPerSecond: z.number().min(1).default(8_000),
  /** Input tokens computed in one step at most. */
  prefillChunkTokens: z.number().int().min(1).default(512),
  /** Time of a step in which any output token is made. */
  decodeBaseMs: z.number().min(0).default(12),
  /** Added to a step for each request that makes an output token. */
  decodePerRequestMs: z.number().min(0).default(0.5),
  /** Size of the KV memory in tokens. */
  cacheTokens: z.number().int().min(16).default(65_536),
  kvBytesPerToken: z.number().min(1).default(131_072),
  /** Rate at which exported cache is transferred. */
  kvBytesPerSecond: z.number().min(1).default(2_000_000_000),
  /** Interval between load reports. */
  loadPublishMs: z.number().min(0).default(100),
  cacheEventLagMs: z.number().min(0).default(50),
  /** Whether orders with an old fencing number are refused. */
  checksFencing: z.boolean().default(true),
  models: z.array(loadedModelSettings).default([]),
  /** Size of weights by model, for those that are loaded by order. */
  weightBytes: z.record(z.string(), z.number().min(0)).default({}),
  defaultWeightBytes: z.number().min(0).default(1_000_000_000),
  /** Address of the weight store; without it models load at once. */
  weightStore: z.string().optional(),
});
export type EngineSettings = z.infer<typeof engineSettings>;
export type EngineSettingsInput = z.input<typeof engineSettings>;
