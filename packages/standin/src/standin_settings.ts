/**
 * Settings of the program `standin` as JSON with comments: the stand-ins to
 * start.
 */

import { z } from "zod";
import { cloudApiSettings } from "./cloud_api_standin.ts";
import { engineSettings } from "./engine_settings.ts";
import { hostListSettings } from "./host_list_standin.ts";
import { objectApiSettings } from "./object_api_standin.ts";
import { plainSettings } from "./plain_standin.ts";
import { weightStoreSettings } from "./weight_store_standin.ts";

const addressField = { address: z.string() };

/** Placement of an endpoint; with a zone, on one of the cloud's hosts. */
const placementFields = {
  name: z.string(),
  address: z.string(),
  service: z.string().default(""),
  /** Defaults to the endpoint's name. */
  host: z.string().optional(),
  zone: z.string().optional(),
  machineClass: z.string().default("standard"),
  market: z.enum(["reclaimable", "on_demand"]).default("reclaimable"),
};

const serviceTemplate = z.discriminatedUnion("kind", [
  engineSettings.extend({ kind: z.literal("engine") }),
  plainSettings.extend({ kind: z.literal("plain") }),
]);
/** Behavior of the endpoints that rented hosts of a service run. */
export type ServiceTemplate = z.infer<typeof serviceTemplate>;

/** Schema of the settings file. */
export const standinSettings = z.strictObject({
  seed: z.number().int().default(1),
  /** Listener for control calls to any part, addressed by its name. */
  control: z.strictObject(addressField).optional(),
  objectApi: objectApiSettings.extend(addressField).optional(),
  hostList: hostListSettings.extend(addressField).optional(),
  cloudApi: cloudApiSettings.extend({
    ...addressField,
    /** Endpoints that rented hosts run, by service name. */
    services: z.record(z.string(), serviceTemplate).default({}),
  }).optional(),
  weightStore: weightStoreSettings.extend(addressField).optional(),
  engines: z.array(engineSettings.extend(placementFields)).default([]),
  plainServices: z.array(plainSettings.extend(placementFields)).default([]),
});
/** Settings with all defaults filled in. */
export type StandinSettings = z.infer<typeof standinSettings>;
/** Settings as a file or a test gives them. */
export type StandinSettingsInput = z.input<typeof standinSettings>;
/** The placement fields of an endpoint's settings. */
export type PlacedSettings = Pick<
  StandinSettings["engines"][number],
  keyof typeof placementFields
>;
