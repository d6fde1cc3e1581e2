/**
 * Copies of the feeds as nodes send them to each other over HTTP.
 *
 * A copy is encoded once for each version. Few are sent at the same time: after a
 * change many nodes ask at once, and on a slow link all of them would wait long.
 * Those that are turned away ask again, by then also nodes that have the copy.
 */

import { promisify } from "node:util";
import { deflateRaw, inflateRaw } from "node:zlib";
import { z } from "zod";
import type { FeedKind, FeedSnapshot, FeedState } from "../feed/feed_state.ts";

const deflate = promisify(deflateRaw);
const inflate = promisify(inflateRaw);

/** Copies of each feed that are sent at the same time. */
const maxTransfers = 4;
const maxSnapshotBytes = 64 * 1_048_576;
const compressionLevel = 3;

const snapshotSchema = z.object({
  asOf: z.number(),
  digest: z.number(),
  objects: z.array(z.object({
    key: z.string(),
    version: z.number(),
    value: z.unknown(),
  })),
});

interface EncodedSnapshot {
  readonly asOf: number;
  readonly digest: number;
  readonly bytes: Promise<Buffer>;
}

/** Encoded copies of one node's feeds. */
export class FeedSnapshots {
  readonly #feeds: Readonly<Record<FeedKind, FeedState>>;
  readonly #encoded = new Map<FeedKind, EncodedSnapshot>();
  readonly #transfers = new Map<FeedKind, number>();

  private constructor(feeds: Readonly<Record<FeedKind, FeedState>>) {
    this.#feeds = feeds;
  }

  static create(feeds: Readonly<Record<FeedKind, FeedState>>): FeedSnapshots {
    return new FeedSnapshots(feeds);
  }

  /** Begins a transfer; false while too many run. End it with `endTransfer`. */
  takeTransfer(kind: FeedKind): boolean {
    const running = this.#transfers.get(kind) ?? 0;
    if (running >= maxTransfers) return false;
    this.#transfers.set(kind, running + 1);
    return true;
  }

  endTransfer(kind: FeedKind): void {
    this.#transfers.set(kind, (this.#transfers.get(kind) ?? 1) - 1);
  }

  /** Encodes the present copy, unless its version is encoded already. */
  encode(kind: FeedKind): Promise<Buffer> {
    const state = this.#feeds[kind];
    const { asOf, digest } = state.version;
    const present = this.#encoded.get(kind);
    if (present?.asOf === asOf && present.digest === digest) {
      return present.bytes;
    }
    const snapshot: FeedSnapshot = {
      asOf,
      digest,
      objects: state.listObjects(),
    };
    const bytes = deflate(JSON.stringify(snapshot), {
      level: compressionLevel,
    });
    this.#encoded.set(kind, { asOf, digest, bytes });
    return bytes;
  }
}

/** Decodes a copy; `undefined` if it is malformed. */
export async function decodeFeedSnapshot(
  bytes: Buffer,
): Promise<FeedSnapshot | undefined> {
  try {
    const json = await inflate(bytes, { maxOutputLength: maxSnapshotBytes });
    return snapshotSchema.safeParse(JSON.parse(json.toString("utf8"))).data;
  } catch {
    // Truncated, or from another program.
    return undefined;
  }
}
