/**
 * Datagrams that nodes send each other a few times a second.
 *
 * Sums are counted from the sender's start, so a lost datagram loses nothing:
 * the next one includes it. A datagram is a head in JSON, a line feed, and the
 * report in compressed JSON, which is the same for all receivers and encoded
 * once. A datagram that cannot be read is dropped.
 */

import { deflateRawSync, inflateRawSync } from "node:zlib";
import { z } from "zod";

const sums = z.array(z.tuple([z.string(), z.number(), z.number()]));

const feedStatus = z.object({
  asOf: z.number(),
  digest: z.number(),
  /** Age of the proof when the datagram was sent; null when there is none. */
  ageMs: z.number().nullable(),
  /** Time since the store did not answer; null when it never failed. */
  outageMs: z.number().nullable(),
  /** Time since the sender itself read the store; null when it never did. */
  readMs: z.number().nullable(),
});

/** What a node has done and holds; the larger part of a datagram. */
const report = z.object({
  /** Tenant, bucket level, tokens admitted. */
  allowances: sums,
  /** Service, requests, repeats. */
  budgets: sums,
  /** Service, engine time of its requests, 0. */
  work: sums,
  /** Replica, active requests, pending tokens, held tokens. */
  loads: z.array(z.tuple([z.string(), z.number(), z.number(), z.number()])),
  /** Usage window, then requests by tenant. */
  usage: z.array(z.tuple([z.number(), z.record(z.string(), z.number())])),
  /** Other nodes the sender knows: name, IP address. Empty at most times. */
  members: z.array(z.tuple([z.string(), z.string()])),
});

const head = z.object({
  /** Sender and its start, which tells incarnations apart. */
  node: z.string(),
  incarnation: z.string(),
  ip: z.string(),
  upMs: z.number(),
  isDraining: z.boolean(),
  /** Whether the sender does not reach the store at present. */
  isStoreUnreachable: z.boolean(),
  /** Sender's monotonic time. */
  sentAt: z.number(),
  /** Sender's time of day. */
  wallTime: z.number(),
  /** Stamp of the receiver's last datagram and how long ago it came. */
  echo: z.object({ sentAt: z.number(), heldMs: z.number() }).nullable(),
  configuration: feedStatus,
  replicas: feedStatus,
  /** Fencing number while the sender holds the duties' lease. */
  duty: z.number().nullable(),
});

/** Status of one feed. */
export type FeedStatus = z.infer<typeof feedStatus>;
/** What a node has done and holds. */
export type PeerReport = z.infer<typeof report>;
/** What tells a datagram's receiver of its sender. */
export type PeerHeader = z.infer<typeof head>;

/** One datagram. */
export interface PeerMessage extends PeerHeader {
  /** Left out of datagrams that only carry the feeds' status. */
  readonly report?: PeerReport;
}

/** Largest report that is taken in, in bytes of JSON. */
const maxReportBytes = 1_048_576;
/** Small state: setting it up costs more than compressing so few bytes. */
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

/** Decodes a datagram; `undefined` when it is not one. */
export function decodePeerMessage(bytes: Buffer): PeerMessage | undefined {
  const end = bytes.indexOf(lineFeed);
  if (end < 0) return undefined;
  try {
    const json: unknown = JSON.parse(bytes.toString("utf8", 0, end));
    const { data } = head.safeParse(json);
    if (data === undefined || end + 1 === bytes.length) return data;
    const decoded = decodeReport(bytes.subarray(end + 1));
    return decoded === undefined ? undefined : { ...data, report: decoded };
  } catch {
    // Bytes of another program, or cut off.
    return undefined;
  }
}

function decodeReport(bytes: Buffer): PeerReport | undefined {
  const json = inflateRawSync(bytes, expansion);
  return report.safeParse(JSON.parse(json.toString("utf8"))).data;
}
