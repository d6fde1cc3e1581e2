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

const named = z.looseObject({ name: z.string() });
const changes = z.object({
  set: z.array(named),
  removed: z.array(z.string()),
});

/** Checks the frame; the content was checked when it was accepted. */
const deltaFrame = z.object({
  base: z.number().int(),
  revision: z.number().int(),
  teams: changes,
  models: changes,
  adapters: changes,
  services: changes,
  endpoints: changes,
});

/** A delta whose frame was checked. */
export const configurationDelta = z.custom<ConfigurationDelta>((value) =>
  deltaFrame.safeParse(value).success
);

/** Checks the frame of an answer. */
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
      teams: z.array(named),
      models: z.array(named),
      adapters: z.array(named),
      services: z.array(named),
      endpoints: z.array(named),
    }),
  }),
]);
