/**
 * Messages that carry the configuration between nodes.
 */

import { z } from "zod";
import type { Configuration } from "@almondcrank/common/configuration.ts";
import type { ConfigurationDelta } from "./configuration_delta.ts";

/** Answer to a node that is at an older revision. */
export type ConfigurationAnswer =
  | { readonly kind: "current"; readonly revision: number }
  | { readonly kind: "delta"; readonly deltas: readonly ConfigurationDelta[] }
  | { readonly kind: "whole"; readonly configuration: Configuration };

const namedItem = z.looseObject({ name: z.string() });
const itemChanges = z.object({
  set: z.array(namedItem),
  removed: z.array(z.string()),
});

/** Outer shape of a delta. Its items were checked when they were accepted. */
const deltaShape = z.object({
  base: z.number().int(),
  revision: z.number().int(),
  teams: itemChanges,
  models: itemChanges,
  adapters: itemChanges,
  services: itemChanges,
  endpoints: itemChanges,
});

/** Schema of a delta; checks its outer shape only. */
export const configurationDelta = z.custom<ConfigurationDelta>((value) =>
  deltaShape.safeParse(value).success
);

/** Schema of an answer; checks its outer shape only. */
export const configurationAnswer = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("current"), revision: z.number().int() }),
  z.object({
    kind: z.literal("delta"),
    deltas: z.array(configurationDelta),
  }),
  z.object({
    kind: z.literal("whole"),
    configuration: z.object({
      revision: z.number().int(),
      teams: z.array(namedItem),
      models: z.array(namedItem),
      adapters: z.array(namedItem),
      services: z.array(namedItem),
      endpoints: z.array(namedItem),
    }),
  }),
]);
