/**
 * Schema of a release note and the defaults of its fields.
 *
 * `add` holds whole items, `change` the names of items with their changed
 * fields, and `withdraw` names. Unknown keys are refused.
 */

import { z } from "zod";
import { parseAddress } from "@almondcrank/common/address.ts";

/** Sections of the configuration; items refer only to earlier sections. */
export const sectionNames = [
  "teams",
  "models",
  "adapters",
  "services",
  "endpoints",
] as const;
/** Name of a section of the configuration. */
export type SectionName = (typeof sectionNames)[number];

/** Values of fields that a note may leave out of `add`. */
export const noteDefaults = {
  team: { priority: 5, share: 1 },
  modelService: { adapters: [], timeoutMs: 60_000, maxOutputTokens: 1_024 },
  plainService: { idempotentMethods: ["GET", "HEAD"], timeoutMs: 10_000 },
  endpoint: { checksFencing: false },
} as const;

/** Prefix of the names of endpoints on hosts that the system rented itself. */
export const rentedNamePrefix = "rented-";

const name = z.string().regex(
  /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/,
  "must be 1 to 63 letters, digits, dots, underscores or hyphens",
);
const modelName = z.string().regex(
  /^[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}$/,
  "must be 1 to 127 letters, digits, dots, underscores, colons, slashes or hyphens",
);
const version = z.string().min(1, "must not be empty").max(63);
const timeoutMs = z.number().int().min(1).max(3_600_000);
const methods = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"];

const kindError = { error: 'kind must be "model" or "plain"' };

const teamFields = {
  keyHash: z.string().regex(
    /^[0-9a-f]{64}$/,
    "must be the SHA-256 hash of the team's key as 64 lowercase hex digits",
  ),
  priority: z.number().int().min(0).max(9),
  share: z.number().positive().max(1_000_000),
};
const modelFields = {
  version,
  weightBytes: z.number().int().nonnegative(),
};
const adapterFields = { version, model: modelName };
const target = z.strictObject({
  firstTokenMs: z.number().positive(),
  betweenTokensMs: z.number().positive(),
});
const modelServiceFields = {
  kind: z.literal("model"),
  model: modelName,
  adapters: z.array(modelName),
  target,
  timeoutMs,
  maxOutputTokens: z.number().int().min(1).max(1_000_000),
};
const plainServiceFields = {
  kind: z.literal("plain"),
  idempotentMethods: z.array(z.enum(methods)),
  timeoutMs,
};
const endpointFields = {
  service: name,
  address: z.string().refine(
    (text) => parseAddress(text) !== undefined,
    "must be an IP address and a port, such as 127.0.0.1:8080",
  ),
  host: name,
  zone: name,
  machineClass: name,
  market: z.enum(["reclaimable", "on_demand"]),
  checksFencing: z.boolean(),
};
const endpointName = name.refine(
  (text) => !text.startsWith(rentedNamePrefix),
  `must not begin with ${rentedNamePrefix}, which marks rented hosts`,
);

const { team, modelService, plainService, endpoint } = noteDefaults;
const addSchema = z.strictObject({
  teams: z.array(z.strictObject({
    name,
    ...teamFields,
    priority: teamFields.priority.default(team.priority),
    share: teamFields.share.default(team.share),
  })).default([]),
  models: z.array(z.strictObject({ name: modelName, ...modelFields }))
    .default([]),
  adapters: z.array(z.strictObject({ name: modelName, ...adapterFields }))
    .default([]),
  services: z.array(z.discriminatedUnion("kind", [
    z.strictObject({
      name,
      ...modelServiceFields,
      adapters: modelServiceFields.adapters.default([...modelService.adapters]),
      timeoutMs: timeoutMs.default(modelService.timeoutMs),
      maxOutputTokens: modelServiceFields.maxOutputTokens
        .default(modelService.maxOutputTokens),
    }),
    z.strictObject({
      name,
      ...plainServiceFields,
      idempotentMethods: plainServiceFields.idempotentMethods
        .default([...plainService.idempotentMethods]),
      timeoutMs: timeoutMs.default(plainService.timeoutMs),
    }),
  ], kindError)).default([]),
  endpoints: z.array(z.strictObject({
    name: endpointName,
    ...endpointFields,
    checksFencing: endpointFields.checksFencing
      .default(endpoint.checksFencing),
  })).default([]),
});

const changeSchema = z.strictObject({
  teams: z.array(
    z.strictObject({ name, ...teamFields }).partial()
      .required({ name: true }),
  ).default([]),
  models: z.array(
    z.strictObject({ name: modelName, ...modelFields }).partial()
      .required({ name: true }),
  ).default([]),
  adapters: z.array(
    z.strictObject({ name: modelName, ...adapterFields }).partial()
      .required({ name: true }),
  ).default([]),
  services: z.array(z.discriminatedUnion("kind", [
    z.strictObject({ name, ...modelServiceFields }).partial()
      .required({ name: true, kind: true }),
    z.strictObject({ name, ...plainServiceFields }).partial()
      .required({ name: true, kind: true }),
  ], kindError)).default([]),
  endpoints: z.array(
    z.strictObject({ name, ...endpointFields }).partial()
      .required({ name: true }),
  ).default([]),
});

const withdrawSchema = z.strictObject({
  teams: z.array(name).default([]),
  models: z.array(modelName).default([]),
  adapters: z.array(modelName).default([]),
  services: z.array(name).default([]),
  endpoints: z.array(name).default([]),
});

const createEmptySections = () => ({
  teams: [],
  models: [],
  adapters: [],
  services: [],
  endpoints: [],
});

/** Schema of a release note. */
export const releaseNoteSchema = z.strictObject({
  add: addSchema.default(createEmptySections),
  change: changeSchema.default(createEmptySections),
  withdraw: withdrawSchema.default(createEmptySections),
});

/** Release note with defaults filled in. */
export type ReleaseNote = z.output<typeof releaseNoteSchema>;
