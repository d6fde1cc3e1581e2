/**
 * Settings of one node, read from a file in JSON with comments.
 *
 * The schema defines every option with its default and checks. Addresses are an
 * IP address and a port; host names are not resolved. Fields that end in `Ms`
 * are milliseconds.
 */

import { type Either } from "purify-ts";
import { z } from "zod";
import { parseAddress } from "@almondcrank/common/address.ts";
import {
  type FileError,
  parseJsoncFile,
} from "@almondcrank/common/jsonc_file.ts";
import { logLevels } from "@almondcrank/common/logs.ts";

const minKeyLength = 16;

const address = z.string().refine(
  (text) => parseAddress(text) !== undefined,
  "is not an IP address with a port, such as 10.0.0.7:8080",
);
const name = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,62}$/,
  "is not a name of lower-case letters, digits and hyphens",
);
const key = z.string().min(
  minKeyLength,
  `is shorter than ${minKeyLength} characters; generate a longer random one`,
);

const schema = z.strictObject({
  /** Name of the node, unique and stable over restarts. */
  node: name,
  /** Data centre of the node. */
  zone: name,
  /** Region of the data centre. */
  region: name.default("default"),
  listen: z.strictObject({
    callers: address,
    peers: address,
    operators: address,
    /** Address at which peers reach this node, if not `peers`. */
    advertisedPeers: address.optional(),
  }),
  /** Seeds: peer addresses of some nodes, from which the others are learnt. */
  peers: z.array(address).default([]),
  /** Shared key with which nodes authenticate to each other. */
  peerKey: key,
  /** Bearer key of operators. */
  operatorKey: key,
  platform: z.strictObject({
    objectApi: address,
    hostList: address.optional(),
    cloudApi: address.optional(),
    weightStore: address.optional(),
  }),
  /** Replica selection; all but `predicted` are baselines for comparison. */
  policy: z.enum(["predicted", "least_load", "round_robin", "random"])
    .default("predicted"),
  /** Sizing of rented capacity; without it the system rents no hosts. */
  capacity: z.strictObject({
    /** Utilisation up to which capacity is planned, as a fraction. */
    targetUtilization: z.number().min(0.1).max(1).default(0.7),
    /**
     * Fraction of demand still served after the loss of any one data centre.
     */
    protectedShare: z.number().min(0).max(1).default(1),
    /** Utilisation allowed while a lost data centre is replaced. */
    survivalUtilization: z.number().min(0.1).max(1).default(0.9),
    /** Capacity of machine classes, relative to one engine. */
    classCapacity: z.record(z.string(), z.number().positive()),
  }).optional(),
  /** Time a draining node lets its requests run before it hands them over. */
  drainMs: z.int().min(0).max(600_000).default(10_000),
  limits: z.strictObject({
    maxBodyBytes: z.int().min(1_024).max(67_108_864).default(4_194_304),
    maxHeaderBytes: z.int().min(1_024).max(1_048_576).default(16_384),
    maxConnections: z.int().min(1).max(1_000_000).default(4_096),
    /** Connections whose bytes may wait to be read; by the heap's size if not set. */
    maxWaitingConnections: z.int().min(1).max(1_000_000).optional(),
    /** Refused connections whose bytes may be dropped at once; likewise. */
    maxEndingConnections: z.int().min(1).max(1_000_000).optional(),
    /** Time a client has to send its whole request. */
    requestTimeoutMs: z.int().min(100).max(600_000).default(15_000),
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(logLevels).default("info"),
    format: z.enum(["text", "json"]).default("text"),
  }).prefault({}),
});

/** Settings of one node, checked and with defaults filled in. */
export type NodeSettings = z.output<typeof schema>;

/**
 * Parses and checks the text of a settings file; `file` is its name for
 * messages.
 */
export function parseNodeSettings(
  file: string,
  text: string,
): Either<FileError, NodeSettings> {
  return parseJsoncFile({ file, text, schema }).map((checked) => checked.value);
}
