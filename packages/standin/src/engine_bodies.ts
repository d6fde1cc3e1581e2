/**
 * Schemas of the request bodies that engines accept.
 */

import { z } from "zod";

/** Body of `POST /generate`. */
export const generateBody = z.object({
  id: z.string().min(1),
  model: z.string(),
  adapter: z.string().exactOptional(),
  prompt: z.string(),
  tokensSoFar: z.array(z.string()),
  maxTokens: z.number().int().min(0),
  priority: z.number(),
  remainingMs: z.number(),
  importId: z.string().exactOptional(),
});

/** Body of `POST /cancel` and `POST /kv/export`. */
export const idBody = z.object({ id: z.string() });

/** Body of `POST /kv/import`. */
export const cacheImportBody = z.object({
  importId: z.string(),
  from: z.string(),
  handle: z.string(),
});

/** Body of `POST /orders`. */
export const orderBody = z.object({
  fencing: z.number().int(),
  holder: z.string(),
  role: z.enum(["serve", "drain"]),
  models: z.array(z.object({
    model: z.string(),
    version: z.string(),
    adapters: z.array(z.string()),
  })),
});
