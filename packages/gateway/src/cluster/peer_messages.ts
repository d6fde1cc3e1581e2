/**
 * Datagrams that nodes send each other a few times a second.
 *
 * Counters are cumulative since the sender's start, so the next datagram makes up
 * for a lost one. A datagram consists of a header in JSON, a line feed, and an
 * optional report in compressed JSON. The report is the same for all receivers
 * and encoded once. A short one is stored uncompressed, in a form that inflates
 * like the rest. A datagram that cannot be decoded is dropped.
 */

import { deflateRawSync, inflateRawSync } from "node:zlib";
import { decodePeerHeader, decodePeerReport } from "./peer_message_checks.ts";

/** Name, level or sum, and sum. */
export type CounterEntry = readonly [string, number, number];
/** Replica, active requests, pending tokens, active tokens. */
export type LoadEntry = readonly [string, number, number, number];
/** Usage window, then requests by tenant. */
type UsageEntry = readonly [number, Readonly<Record<string, number>>];
/**
 * Part of a prompt, ages of its last run that went well and of its last refusal,
 * and the incarnations that crashed under it with the ages of the crashes.
 */
type SuspectEntry = readonly [
  string,
  number | null,
  number | null,
  readonly (readonly [string, number])[],
];
/** Replica, limit of requests a second that it names, and age of its answer. */
type LimitEntry = readonly [string, number | null, number];

/** Freshness of a sender's copy of one feed; times in milliseconds. */
export interface FeedStatus {
  readonly asOf: number;
  readonly digest: number;
  /** Time since the copy last matched the store; null if it never did. */
  readonly ageMs: number | null;
  /** Time since the store last failed to answer; null if it never failed. */
  readonly outageMs: number | null;
  /** Time since the sender itself read the store; null if it never did. */
  readonly readMs: number | null;
  /** First node by name that has read the store lately, and how long ago. */
  readonly reader: { readonly node: string; readonly ageMs: number } | null;
}

/** A node that a relay has heard of. */
export interface AliveMember {
  readonly node: string;
  /** Time since its last sign of life, in milliseconds. */
  readonly ageMs: number;
  readonly isDraining?: boolean | undefined;
  readonly isStoreUnreachable?: boolean | undefined;
  /** Fencing token while it holds the duties' lease. */
  readonly duty?: number | undefined;
}

/** Counters and loads of one or more nodes; the larger part of a datagram. */
export interface PeerReport {
  /** Tenant, token bucket level, cost admitted. */
  readonly allowances: readonly CounterEntry[];
  /** Service, requests, retries. */
  readonly budgets: readonly CounterEntry[];
  /** Service, engine time of its requests in milliseconds, 0. */
  readonly work: readonly CounterEntry[];
  /** Name, sum; see `ReportTallies`. */
  readonly tallies: readonly (readonly [string, number])[];
  readonly loads: readonly LoadEntry[];
  /** By name; see `ReportNews`. */
  readonly news: Readonly<Record<string, unknown>>;
  /** Replicas that are leaving, as they announced or registered. */
  readonly leaving: readonly string[];
  /** Parts of prompts under which replicas crash. */
  readonly suspects: readonly SuspectEntry[];
  /** Limits that replicas name, or no longer name. */
  readonly limits: readonly LimitEntry[];
  readonly usage: readonly UsageEntry[];
  /** Nodes that a relay has heard of lately. Empty in reports of one node. */
  readonly alive: readonly AliveMember[];
  /** Other nodes that the sender knows. Mostly empty. */
  readonly members: readonly {
    readonly node: string;
    readonly ip: string;
    readonly zone: string;
  }[];
}

/** Part of a report of the system that comes from its receiver. */
export interface IncludedReport {
  readonly counters: readonly (readonly [string, number])[];
  readonly loads: readonly LoadEntry[];
  readonly usage: readonly UsageEntry[];
}

/**
 * Nodes that a report counts: the sender, its zone, or all; `none` if it only
 * lists members.
 */
export type ReportScope = "none" | "node" | "zone" | "system";

/** State of the sender; part of every datagram. */
export interface PeerHeader {
  /** Name of the sender, and an id of its start. */
  readonly node: string;
  readonly incarnation: string;
  readonly ip: string;
  readonly zone: string;
  readonly scope: ReportScope;
  /** Time since the start of the sender. */
  readonly upMs: number;
  readonly isDraining: boolean;
  /** Whether the sender currently does not reach the store. */
  readonly isStoreUnreachable: boolean;
  /** Monotonic time of the sender, in milliseconds. */
  readonly sentAt: number;
  /** Time for which the report waited to be sent; its ages don't include it. */
  readonly heldMs: number;
  /** Time of day of the sender, in milliseconds. */
  readonly wallTime: number;
  /**
   * Median time of day of the nodes that a relay hears from; null from others. It
   * counts only clocks themselves, as a median of medians would fall behind.
   */
  readonly medianTime: number | null;
  /** Timestamp of the receiver's last datagram, and time since it arrived. */
  readonly echo: { readonly sentAt: number; readonly heldMs: number } | null;
  readonly configuration: FeedStatus;
  readonly replicas: FeedStatus;
  /** Fencing token while the sender holds the duties' lease. */
  readonly duty: number | null;
  /** Null unless the report counts the receiver too. */
  readonly included: IncludedReport | null;
}

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
/**
 * Largest report that is stored instead of compressed, in bytes of JSON: with
 * its header it fits into one packet, and inflating it takes longer than reading
 * it.
 */
const maxStoredBytes = 600;
/** First byte of deflate data that is one final stored block. */
const storedBlock = 0x01;
const storedHeadBytes = 5;
const lineFeed = 10;

/** Encodes a report for any number of datagrams. */
export function encodePeerReport(value: PeerReport): Buffer {
  const json = Buffer.from(JSON.stringify(value));
  return json.length <= maxStoredBytes
    ? encodeStored(json)
    : deflateRawSync(json, compression);
}

/** Encodes bytes as one stored block of the deflate format (RFC 1951, 3.2.4). */
function encodeStored(bytes: Buffer): Buffer {
  const block = Buffer.allocUnsafe(storedHeadBytes + bytes.length);
  block[0] = storedBlock;
  block.writeUInt16LE(bytes.length, 1);
  block.writeUInt16LE(~bytes.length & 0xffff, 3);
  bytes.copy(block, storedHeadBytes);
  return block;
}

/** Decodes a single stored block; `undefined` for all other data. */
function decodeStored(block: Buffer): Buffer | undefined {
  if (block[0] !== storedBlock || block.length < storedHeadBytes) {
    return undefined;
  }
  const length = block.readUInt16LE(1);
  const isWhole = block.readUInt16LE(3) === (~length & 0xffff) &&
    block.length === storedHeadBytes + length;
  return isWhole ? block.subarray(storedHeadBytes) : undefined;
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
    const header = decodePeerHeader(json);
    if (header === undefined || end + 1 === bytes.length) return header;
    const report = decodeReport(bytes.subarray(end + 1));
    return report === undefined ? undefined : { ...header, report };
  } catch {
    // Truncated, or from another program.
    return undefined;
  }
}

function decodeReport(bytes: Buffer): PeerReport | undefined {
  const json = decodeStored(bytes) ?? inflateRawSync(bytes, expansion);
  return decodePeerReport(JSON.parse(json.toString("utf8")));
}
