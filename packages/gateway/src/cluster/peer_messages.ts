/**
 * Datagrams that nodes send each other a few times a second.
 *
 * Counters are cumulative since the sender's start, so the next datagram makes up
 * for a lost one. A datagram consists of a header in JSON, a line feed, and an
 * optional report in compressed JSON. The report is the same for all receivers
 * and encoded once. A datagram that cannot be decoded is dropped.
 */

import { deflateRawSync, inflateRawSync } from "node:zlib";
import { z } from "zod";

const counters = z.array(z.tuple([z.string(), z.number(), z.number()]));

const loads = z.array(
  z.tuple([z.string(), z.number(), z.number(), z.number()]),
);
/**
 * Part of a prompt, ages of its last run that went well and of its last refusal,
 * and the incarnations that crashed under it with the ages of the crashes.
 */
const suspects = z.array(z.tuple([
  z.string(),
  z.number().nullable(),
  z.number().nullable(),
  z.array(z.tuple([z.string(), z.number()])),
]));
/** Replica, limit of requests a second that it names, and age of its answer. */
const limits = z.array(
  z.tuple([z.string(), z.number().nullable(), z.number()]),
);
const usage = z.array(
  z.tuple([z.number(), z.record(z.string(), z.number())]),
);

const feedStatusSchema = z.object({
  asOf: z.number(),
  digest: z.number(),
  /** Time since the copy last matched the store; null if it never did. */
  ageMs: z.number().nullable(),
  /** Time since the store last failed to answer; null if it never failed. */
  outageMs: z.number().nullable(),
  /** Time since the sender itself read the store; null if it never did. */
  readMs: z.number().nullable(),
  /** First node by name that has read the store lately, and how long ago. */
  reader: z.object({ node: z.string(), ageMs: z.number() }).nullable()
    .default(null),
});

const memberSchema = z.object({
  node: z.string(),
  ip: z.string(),
  zone: z.string(),
});
const aliveSchema = z.object({
  node: z.string(),
  /** Time since its last sign of life, in milliseconds. */
  ageMs: z.number(),
  isDraining: z.boolean().optional(),
  isStoreUnreachable: z.boolean().optional(),
  /** Fencing token while it holds the duties' lease. */
  duty: z.number().optional(),
});

/** Counters and loads of one or more nodes; the larger part of a datagram. */
const reportSchema = z.object({
  /** Tenant, token bucket level, cost admitted. */
  allowances: counters,
  /** Service, requests, retries. */
  budgets: counters,
  /** Service, engine time of its requests in milliseconds, 0. */
  work: counters,
  /** Name, sum; see `ReportTallies`. */
  tallies: z.array(z.tuple([z.string(), z.number()])).default([]),
  /** Replica, active requests, pending tokens, active tokens. */
  loads,
  /** By name; see `ReportNews`. */
  news: z.record(z.string(), z.unknown()).default({}),
  /** Replicas that announced in an answer that they are leaving. */
  leaving: z.array(z.string()).default([]),
  /** Parts of prompts under which replicas crash. */
  suspects: suspects.default([]),
  /** Limits that replicas name, or no longer name. */
  limits: limits.default([]),
  /** Usage window, then requests by tenant. */
  usage,
  /** Nodes that a relay has heard of lately. Empty in reports of one node. */
  alive: z.array(aliveSchema).default([]),
  /** Other nodes that the sender knows. Mostly empty. */
  members: z.array(memberSchema),
});

/** Part of a report of the system that comes from its receiver. */
const includedSchema = z.object({
  counters: z.array(z.tuple([z.string(), z.number()])),
  loads,
  usage,
});

const headerSchema = z.object({
  /** Name of the sender, and an id of its start. */
  node: z.string(),
  incarnation: z.string(),
  ip: z.string(),
  zone: z.string().default(""),
  /**
   * Nodes that the report counts: the sender, its zone, or all; `none` if it only
   * lists members.
   */
  scope: z.enum(["none", "node", "zone", "system"]).default("node"),
  /** Time since the start of the sender. */
  upMs: z.number(),
  isDraining: z.boolean(),
  /** Whether the sender currently does not reach the store. */
  isStoreUnreachable: z.boolean(),
  /** Monotonic time of the sender, in milliseconds. */
  sentAt: z.number(),
  /** Time of day of the sender, in milliseconds. */
  wallTime: z.number(),
  /**
   * Median time of day of the nodes that a relay hears from; null from others. It
   * counts only clocks themselves, as a median of medians would fall behind.
   */
  medianTime: z.number().nullable().default(null),
  /** Timestamp of the receiver's last datagram, and time since it arrived. */
  echo: z.object({ sentAt: z.number(), heldMs: z.number() }).nullable(),
  configuration: feedStatusSchema,
  replicas: feedStatusSchema,
  /** Fencing token while the sender holds the duties' lease. */
  duty: z.number().nullable(),
  /** Null unless the report counts the receiver too. */
  included: includedSchema.nullable().default(null),
});

/** Freshness of a sender's copy of one feed; times in milliseconds. */
export type FeedStatus = z.infer<typeof feedStatusSchema>;
/** Counters and loads of one or more nodes. */
export type PeerReport = z.infer<typeof reportSchema>;
/** State of the sender; part of every datagram. */
export type PeerHeader = z.infer<typeof headerSchema>;

/** Nodes that a report counts. */
export type ReportScope = PeerHeader["scope"];
/** Part of a report of the system that comes from its receiver. */
export type IncludedReport = z.infer<typeof includedSchema>;
/** A node that a relay has heard of. */
export type AliveMember = z.infer<typeof aliveSchema>;

/** One datagram. */
export interface PeerMessage extends PeerHeader {
  /** Absent from datagrams that only carry the feeds' status. */
  readonly report?: PeerReport;
}

/** Largest report that is accepted, in bytes of uncompressed JSON. */
const maxReportBytes = 1_048_576;
/** Small buffers, since setup costs more than compressing so few bytes. */
const compression = { level: 3, windowBits: 11, memLevel: 4 } as const;
const expansion = {
  windowBits: 11,
  chunkSize: 4_096,
  maxOutputLength: maxReportBytes,
} as const;
const lineFeed = 10;

/** Encodes a report for any number of datagrams. */
export function encodePeerReport(value: PeerReport): Buffer {
  const json = Buffer.from(JSON.stringify(value));
  return deflateRawSync(json, compression);
}

/** Encodes a datagram. */
export function encodePeerMessage(
  value: PeerHeader,
  report: Buffer | undefined,
): Buffer {
  const json = Buffer.from(`${JSON.stringify(value)}\n`);
  return report === undefined ? json : Buffer.concat([json, report]);
}

/** Decodes a datagram; `undefined` if it is malformed or too large. */
export function decodePeerMessage(bytes: Buffer): PeerMessage | undefined {
  const end = bytes.indexOf(lineFeed);
  if (end < 0) return undefined;
  try {
    const json: unknown = JSON.parse(bytes.toString("utf8", 0, end));
    const { data } = headerSchema.safeParse(json);
    if (data === undefined || end + 1 === bytes.length) return data;
    const decoded = decodeReport(bytes.subarray(end + 1));
    return decoded === undefined ? undefined : { ...data, report: decoded };
  } catch {
    // Truncated, or from another program.
    return undefined;
  }
}

function decodeReport(bytes: Buffer): PeerReport | undefined {
  const json = inflateRawSync(bytes, expansion);
  return reportSchema.safeParse(JSON.parse(json.toString("utf8"))).data;
}
