/**
 * Settings of the program `standin`: which parts to start, as JSON with comments.
 */

import { z } from "zod";
import { cloudApiSettings } from "./cloud_api_standin.ts";
import { engineSettings } from "./engine_settings.ts";
import { hostListSettings } from "./host_list_standin.ts";
import { objectApiSettings } from "./object_api_standin.ts";
import { plainSettings } from "./plain_standin.ts";
import { weightStoreSettings } from "./weight_store_standin.ts";

const addressed = { address: z.string() };

/** Where an endpoint stands; with a zone it is one of the cloud's hosts. */
const placed = {
  name: z.string(),
  address: z.string(),
  service: z.string().default(""),
  /** The endpoint's name when left out. */
  host: z.string().optional(),
  zone: z.string().optional(),
  machineClass: z.string().default("standard"),
  market: z.enum(["reclaimable", "on_demand"]).default("reclaimable"),
};

const serviceTemplate = z.discriminatedUnion("kind", [
  engineSettings.extend({ kind: z.literal("engine") }),
  plainSettings.extend({ kind: z.literal("plain") }),
]);
export type ServiceTemplate = z.infer<typeof serviceTemplate>;

export const standinSettings = z.strictObject({
  seed: z.number().int().default(1),
  /** Listener that passes control orders on to every part by name. */
  control: z.strictObject(addressed).optional(),
  objectApi: objectApiSettings.extend(addressed).optional(),
  hostList: hostListSettings.extend(addressed).optional(),
  cloudApi: cloudApiSettings.extend({
    ...addressed,
    /** What a rented host of a service runs, by service. */
    services: z.record(z.string(), serviceTemplate).default({}),
  }).optional(),
  weightStore: weightStoreSettings.extend(addressed).optional(),
  engines: z.array(engineSettings.extend(placed)).default([]),
  plainServices: z.array(plainSettings.extend(placed)).default([]),
});
export type StandinSettings = z.infer<typeof standinSettings>;
export type StandinSettingsInput = z.input<typeof standinSettings>;
export type PlacedSettings = Pick<
  StandinSettings["engines"][number],
  keyof typeof placed
>;
